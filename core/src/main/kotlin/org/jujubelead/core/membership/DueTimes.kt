/** Immutable array of probe times, split into chunks so that an update copies one chunk instead of the whole array. */
package org.jujubelead.core.membership

import org.jujubelead.core.time.Timestamp

internal class DueTimes private constructor(private val chunks: Array<LongArray>) {
    operator fun get(index: Int): Timestamp = Timestamp(chunks[index shr CHUNK_BITS][index and CHUNK_MASK])

    fun with(index: Int, due: Timestamp): DueTimes {
        val copy = chunks.copyOf()
        val chunk = copy[index shr CHUNK_BITS].copyOf()
        chunk[index and CHUNK_MASK] = due.micros
        copy[index shr CHUNK_BITS] = chunk
        return DueTimes(copy)
    }

    companion object {
        private const val CHUNK_BITS = 6
        private const val CHUNK_SIZE = 1 shl CHUNK_BITS
        private const val CHUNK_MASK = CHUNK_SIZE - 1

        fun of(size: Int, due: (Int) -> Timestamp): DueTimes {
            val chunks = Array((size + CHUNK_MASK) shr CHUNK_BITS) { LongArray(CHUNK_SIZE) }
            for (i in 0 until size) chunks[i shr CHUNK_BITS][i and CHUNK_MASK] = due(i).micros
            return DueTimes(chunks)
        }
    }
}
