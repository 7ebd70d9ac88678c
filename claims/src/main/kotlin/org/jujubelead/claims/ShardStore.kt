/**
 * The keys of one shard in the key-value service.
 *
 * - `claims/<shard>/log/<slot>`: log entries in a ring of slots. An entry is written to slot `sequence mod ringSize` by
 *   compare-and-swap on the version of the entry it replaces (on an absent key in the first round). Slots are never
 *   deleted: with create-if-absent and deletion, a paused owner could later write at a position that its successor
 *   has compacted and deleted. Versions are never reused, so only one write at a position succeeds.
 * - `claims/<shard>/chunk/<first>-<last>`: claims of a range of log entries. The content is determined by the log
 *   alone, so any instance may write it.
 * - `claims/<shard>/owner`: the last known owner. It is only a hint.
 */
package org.jujubelead.claims

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue

/** The content of a slot. Both properties are null if the slot was never written. */
internal class Slot(val version: Version?, val entry: LogEntry?)

/** Reads and writes the keys of one shard. */
internal class ShardStore(private val store: KeyValueStore, shard: Int, private val ringSize: Int) {
    private val base = "claims/$shard"
    private val chunkBase = "$base/chunk/"

    suspend fun readSlot(sequence: Long): Result<Slot, KeyValueError> =
        store.get(slotKey(sequence)).map { value -> value.toSlot() }

    suspend fun append(entry: LogEntry, expected: Version?): Result<Version, KeyValueError> =
        store.compareAndSet(slotKey(entry.sequence), expected, entry.encode(), entry.operation)

    suspend fun chunkRanges(): Result<List<LongRange>, KeyValueError> = store.list(chunkBase).map { keys ->
        keys.map { key ->
            val (first, last) = key.removePrefix(chunkBase).split('-').map { it.toLong() }
            first..last
        }.sortedBy { it.first }
    }

    suspend fun readChunk(range: LongRange): Result<Chunk?, KeyValueError> =
        store.get(chunkKey(range.first, range.last)).map { value -> value?.let { decodeChunk(it.bytes) } }

    suspend fun writeChunk(chunk: Chunk, operation: OperationId): Result<Version, KeyValueError> =
        store.compareAndSet(chunkKey(chunk.first, chunk.last), null, chunk.encode(), operation)

    suspend fun deleteChunk(ref: ChunkRef): Result<Unit, KeyValueError> = store.delete(chunkKey(ref.first, ref.last))

    suspend fun readOwner(): Result<Pair<Version?, InstanceId?>, KeyValueError> =
        store.get("$base/owner").map { value -> value?.version to value?.let { decodeOwner(it.bytes) } }

    suspend fun writeOwner(owner: InstanceId, expected: Version?, operation: OperationId) =
        store.compareAndSet("$base/owner", expected, owner.encodeOwner(), operation)

    private fun slotKey(sequence: Long) = "$base/log/${sequence % ringSize}"

    private fun chunkKey(first: Long, last: Long) = chunkBase + "%015d-%015d".format(first, last)
}

internal fun VersionedValue?.toSlot(): Slot = Slot(this?.version, this?.let { decodeEntry(it.bytes) })
