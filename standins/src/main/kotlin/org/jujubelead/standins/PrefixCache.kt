/** Prefix cache of limited memory: least recently used blocks of prompt text go first. */
package org.jujubelead.standins

private const val BLOCK_CHARS = 64
private const val LOAD_FACTOR = 0.75f

/** The cache; [capacity] is counted in blocks of 64 characters. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks = LinkedHashMap<Int, Unit>(capacity, LOAD_FACTOR, true)

    /** Stores the blocks of [prompt] and returns the fraction that was there before, from the start on. */
    @Synchronized
    fun use(prompt: String): Double {
        val keys = (BLOCK_CHARS..prompt.length step BLOCK_CHARS).map { prompt.take(it).hashCode() }
        val hits = keys.takeWhile { it in blocks }.size
        keys.forEach { blocks[it] = Unit }
        val oldest = blocks.keys.iterator()
        while (blocks.size > capacity) {
            oldest.next()
            oldest.remove()
        }
        return if (keys.isEmpty()) 0.0 else hits.toDouble() / keys.size
    }
}
