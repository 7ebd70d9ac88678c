/** Virtual time, and a network that loses, duplicates and delays messages while faults are active. */
package org.jujubelead.standins.ranks

import java.util.PriorityQueue
import kotlin.random.Random

internal enum class Fault {
    KILL_COORDINATOR,
    PAUSE_COORDINATOR,
    LOSE_MESSAGES,
    DUPLICATE_MESSAGES,
    DELAY_MESSAGES,
    STORE_OUTAGE,
    REPLACE_RANK,
    RESTART_AGENT,
    RESTART_ENGINE,
    DELAY_ENGINE_ORDERS,
    ISOLATE_RANK,
}

internal const val MILLI = 1_000L
internal const val SECOND = 1_000_000L

internal class VirtualTime {
    private class Event(val at: Long, val id: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.at }, { it.id }))
    private var nextId = 0L
    var now = 0L
        private set

    fun at(micros: Long, action: () -> Unit) {
        queue += Event(at = maxOf(micros, now), id = nextId++, action = action)
    }

    fun after(micros: Long, action: () -> Unit) = at(now + micros, action)

    fun every(micros: Long, condition: () -> Boolean = { true }, action: () -> Unit): Unit = after(micros) {
        if (condition()) {
            action()
            every(micros, condition, action)
        }
    }

    fun runUntil(end: Long, done: () -> Boolean) {
        while (!done() && queue.isNotEmpty() && queue.peek().at <= end) {
            val e = queue.poll()
            now = e.at
            e.action()
        }
    }
}

internal class FaultyNetwork(
    private val time: VirtualTime,
    private val random: Random,
    private val faults: Set<Fault>,
    private val window: LongRange,
) {
    fun injects(fault: Fault, probability: Double = 1.0) =
        fault in faults && time.now in window && random.nextDouble() < probability

    fun send(deliver: () -> Unit) {
        if (injects(Fault.LOSE_MESSAGES, probability = 0.3)) return
        val copies = if (injects(Fault.DUPLICATE_MESSAGES, probability = 0.4)) 2 else 1
        repeat(copies) { i ->
            val delayed = i > 0 || injects(Fault.DELAY_MESSAGES, probability = 0.3)
            time.after(if (delayed) longDelay() else random.nextLong(500, 2 * MILLI), deliver)
        }
    }

    /** Usually as long as a few retries, in one case of four up to longer than a lease. */
    private fun longDelay() =
        if (random.nextInt(4) == 0) random.nextLong(SECOND, 12 * SECOND) else random.nextLong(5 * MILLI, SECOND)
}
