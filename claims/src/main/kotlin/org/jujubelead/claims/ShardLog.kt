/** What an owner knows of the log of its shard. */
package org.jujubelead.claims

import org.jujubelead.core.claim.ClaimIndex
import org.jujubelead.platform.Version

/** The known log. It belongs to one thread. */
internal class ShardLog(val index: ClaimIndex, private val settings: ClaimSettings) {
    private class Uncompacted(val entry: LogEntry, val bytes: Int)

    private val uncompacted = ArrayDeque<Uncompacted>()
    private val slotVersions = HashMap<Long, Version>()
    private val chunks = ArrayDeque<ChunkRef>()

    /** Position of the next entry. */
    var next: Long = 0
        private set

    /** False while the next slot still holds an entry that is not in a chunk. */
    val hasFreeSlot: Boolean get() = uncompacted.size < settings.ringSize - 1

    /** Version of the slot of [sequence], when known. */
    fun slotVersion(sequence: Long): Version? = slotVersions[sequence % settings.ringSize]

    fun learnSlot(sequence: Long, version: Version) {
        slotVersions[sequence % settings.ringSize] = version
    }

    /** Records the entry at [next]; [bytes] is its encoded size. */
    fun append(entry: LogEntry, bytes: Int, version: Version) {
        check(entry.sequence == next) { "entry ${entry.sequence} does not follow ${next - 1}" }
        entry.claims.forEach { index.apply(it, entry.sequence) }
        // A chunk adds the position to each claim.
        uncompacted += Uncompacted(entry, bytes + entry.claims.size * POSITION_BYTES)
        learnSlot(entry.sequence, version)
        next += 1
    }

    /** Records a chunk read in the take-over. */
    fun addChunk(chunk: Chunk) {
        chunk.claims.forEach { index.apply(it.claim, it.sequence) }
        chunks += chunk.ref
        next = maxOf(next, chunk.last + 1)
    }

    /** The next chunk to write; null when there are too few entries. */
    fun dueChunk(): Chunk? {
        var count = 0
        var bytes = 0
        for (u in uncompacted) {
            val full = count == settings.compactEntries || bytes + u.bytes > settings.compactBytes
            if (full && count > 0) return chunkOf(count)
            count += 1
            bytes += u.bytes
        }
        return if (count >= settings.compactEntries) chunkOf(count) else null
    }

    private fun chunkOf(count: Int): Chunk {
        val entries = uncompacted.take(count).map { it.entry }
        val claims = entries.flatMap { entry -> entry.claims.map { LoggedClaim(entry.sequence, it) } }
        return Chunk(first = entries.first().sequence, last = entries.last().sequence, claims = claims)
    }

    /** Records that [chunk] is stored. */
    fun compacted(chunk: Chunk) {
        while (uncompacted.isNotEmpty() && uncompacted.first().entry.sequence <= chunk.last) uncompacted.removeFirst()
        chunks += chunk.ref
    }

    /** The oldest chunk. Null when there is only one, which is kept because it tells where the log goes on. */
    fun oldestChunk(): ChunkRef? = if (chunks.size > 1) chunks.first() else null

    fun dropChunk(ref: ChunkRef) {
        chunks.remove(ref)
    }

    private companion object {
        const val POSITION_BYTES = 9
    }
}
