/**
 * Prefix cache with LRU eviction of blocks of prompt text.
 *
 * Its events are published with a delay, and some are lost.
 */
package org.jujubelead.standins

import org.jujubelead.platform.CacheEvent
import kotlin.random.Random
import kotlin.time.Duration

private const val BLOCK_CHARS = 64
private const val LOAD_FACTOR = 0.75f
private const val MAX_EVENTS = 10_000

/**
 * The cache.
 *
 * @property capacity maximum number of blocks of 64 characters.
 * @property eventLag delay before an event is published.
 * @property lostEvents probability that an event is lost.
 */
internal class PrefixCache(
    private val capacity: Int,
    private val eventLag: Duration = Duration.ZERO,
    private val lostEvents: Double = 0.0,
    private val random: Random = Random(1),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    private class Pending(val atMillis: Long, val event: CacheEvent)

    private val blocks = LinkedHashMap<Int, Unit>(capacity, LOAD_FACTOR, true)
    private val events = ArrayDeque<Pending>()
    private var sequence = 0L

    /** Stores the blocks of [text]. Returns the length of the cached prefix as a fraction of all blocks. */
    @Synchronized
    fun use(text: String): Double {
        val keys = (BLOCK_CHARS..text.length step BLOCK_CHARS).map { text.take(it).hashCode() }
        val hits = keys.takeWhile { it in blocks }.size
        keys.forEach { if (blocks.put(it, Unit) == null) publish(it, stored = true) }
        val oldest = blocks.keys.iterator()
        while (blocks.size > capacity) {
            val block = oldest.next()
            oldest.remove()
            publish(block, stored = false)
        }
        return if (keys.isEmpty()) 0.0 else hits.toDouble() / keys.size
    }

    /** Published events with a sequence number above [after]. */
    @Synchronized
    fun events(after: Long): List<CacheEvent> {
        val publishedUntil = nowMillis() - eventLag.inWholeMilliseconds
        return events.filter { it.atMillis <= publishedUntil && it.event.sequence > after }.map { it.event }
    }

    private fun publish(block: Int, stored: Boolean) {
        sequence += 1
        if (random.nextDouble() < lostEvents) return
        events += Pending(atMillis = nowMillis(), event = CacheEvent(sequence, block, stored))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }
}
