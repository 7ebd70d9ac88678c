/** Events in virtual time, in the order of their time and then of their insertion. */
package org.jujubelead.bench.routing

import java.util.PriorityQueue

internal class EventQueue {
    private class Event(val at: Long, val number: Long, val run: (Long) -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event): Int = compareValuesBy(this, other, { it.at }, { it.number })
    }

    private val queue = PriorityQueue<Event>()
    private var number = 0L

    /** Virtual time in microseconds. */
    var now: Long = 0L
        private set

    fun at(time: Long, run: (Long) -> Unit) {
        queue += Event(maxOf(time, now), number++, run)
    }

    fun after(micros: Long, run: (Long) -> Unit): Unit = at(now + micros, run)

    /** Runs [task] every [period] microseconds from [first] on. */
    fun every(period: Long, first: Long = period, task: (Long) -> Unit) {
        at(first) { now ->
            task(now)
            every(period, now + period, task)
        }
    }

    fun runUntil(end: Long) {
        while (true) {
            val event = queue.peek() ?: return
            if (event.at > end) return
            queue.poll()
            now = event.at
            event.run(event.at)
        }
    }
}
