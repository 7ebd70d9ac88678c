/**
 * Measures how late the tasks of an event loop run.
 *
 * All requests, timers and checks of a loop wait while one of its tasks takes long. Nothing else tells that from a slow
 * replica or a slow caller. Runs on the event loop that it measures.
 */
package org.jujubelead.gateway.telemetry

import io.netty.channel.EventLoop
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.schedule.scheduleRepeating
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * @param name name of the loop in the log.
 * @param onDelay receives each measured delay.
 */
internal class LoopDelayMonitor(
    private val loop: EventLoop,
    private val log: EventLog,
    private val name: String,
    private val onDelay: (Duration) -> Unit = {},
) {
    private var dueAt = Timestamp.ZERO

    /** Starts to measure. Must be called on the event loop. */
    fun start() {
        dueAt = ProcessClock.now() + INTERVAL
        loop.scheduleRepeating(INTERVAL.inWholeMilliseconds, "loop delay", ::measure)
    }

    private fun measure() {
        val now = ProcessClock.now()
        val delay = (now - dueAt).coerceAtLeast(Duration.ZERO)
        dueAt = now + INTERVAL
        onDelay(delay)
        if (delay >=
            REPORTED_DELAY
        ) {
            log.log(LogEvent.LOOP_DELAYED, "loop" to name, "millis" to delay.inWholeMilliseconds)
        }
    }

    private companion object {
        val INTERVAL: Duration = 100.milliseconds

        /** Callers notice from about here on. */
        val REPORTED_DELAY: Duration = 250.milliseconds
    }
}
