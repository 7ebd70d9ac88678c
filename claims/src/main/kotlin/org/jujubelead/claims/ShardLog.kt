/** The state of the log of one shard, as known to its owner. */
package org.jujubelead.claims

import org.jujubelead.core.claim.ClaimIndex
import org.jujubelead.platform.Version

/** The log entries, slots and chunks of one shard that its owner knows of. Confined to one thread. */
internal class ShardLog(val index: ClaimIndex, private val settings: ClaimSettings) {
    private class Uncompacted(val entry: LogEntry, val bytes: Int)

    private val uncompacted = ArrayDeque<Uncompacted>()
    private val slotVersions = HashMap<Long, Version>()
    private val chunks = ArrayDeque<ChunkRef>()

    /** Position of the next entry. */
    var nextSequence: Long = 0
        private set

    /** False while the next slot still holds an entry that has not been compacted into a chunk. */
    val hasFreeSlot: Boolean get() = uncompacted.size < settings.ringSize - 1

    /** Version of the slot of [sequence], or null if it is unknown. */
    fun slotVersion(sequence: Long): Version? = slotVersions[sequence % settings.ringSize]

    fun recordSlotVersion(sequence: Long, version: Version) {
        slotVersions[sequence % settings.ringSize] = version
    }

    /** Records the entry at [nextSequence]. [bytes] is its encoded size. */
    fun append(entry: LogEntry, bytes: Int, version: Version) {
        check(entry.sequence == nextSequence) {
            "log entry ${entry.sequence} does not follow entry ${nextSequence - 1}"
        }
        entry.claims.forEach { index.apply(it, entry.sequence) }
        // In a chunk, each claim also carries its position.
        uncompacted += Uncompacted(entry, bytes + entry.claims.size * POSITION_BYTES)
        recordSlotVersion(entry.sequence, version)
        nextSequence += 1
    }

    /** Records a chunk that was read during a take-over. */
    fun addChunk(chunk: Chunk) {
        chunk.claims.forEach { index.apply(it.claim, it.sequence) }
        chunks += chunk.ref
        nextSequence = maxOf(nextSequence, chunk.last + 1)
    }

    /** Returns the next chunk to write, or null if there are too few entries for one. */
    fun dueChunk(): Chunk? {
        var count = 0
        var bytes = 0
        for (pending in uncompacted) {
            val full = count == settings.maxChunkEntries || bytes + pending.bytes > settings.maxChunkBytes
            if (full && count > 0) return chunkOf(count)
            count += 1
            bytes += pending.bytes
        }
        return if (count >= settings.maxChunkEntries) chunkOf(count) else null
    }

    private fun chunkOf(count: Int): Chunk {
        val entries = uncompacted.take(count).map { it.entry }
        val claims = entries.flatMap { entry -> entry.claims.map { LoggedClaim(entry.sequence, it) } }
        return Chunk(first = entries.first().sequence, last = entries.last().sequence, claims = claims)
    }

    /** Records that [chunk] has been stored. */
    fun markCompacted(chunk: Chunk) {
        while (uncompacted.isNotEmpty() && uncompacted.first().entry.sequence <= chunk.last) uncompacted.removeFirst()
        chunks += chunk.ref
    }

    /** Returns the oldest chunk, or null if it is the last one, which is kept because it marks the end of the log. */
    fun oldestDeletableChunk(): ChunkRef? = if (chunks.size > 1) chunks.first() else null

    fun removeChunk(ref: ChunkRef) {
        chunks.remove(ref)
    }

    private companion object {
        const val POSITION_BYTES = 9
    }
}
