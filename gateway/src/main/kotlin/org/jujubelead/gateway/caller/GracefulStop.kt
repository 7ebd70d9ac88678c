/**
 * Stops serving callers without cutting a request.
 *
 * The gateway first goes on serving while the platform still sends connections, then refuses new requests, and stops
 * listening once the last response is sent. A connection on which no request has arrived yet is not closed at once: its
 * first request may be on the way, and its caller would not know whether it was read. Runs on the data plane's event
 * loop.
 */
package org.jujubelead.gateway.caller

import io.netty.channel.Channel
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.schedule.scheduleOnce
import org.jujubelead.gateway.schedule.scheduleRepeating
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * @param listener socket on which callers connect.
 * @param refuseAt from when on new requests are refused.
 * @param endBy when the stop ends even if requests are in progress.
 * @param onStopped receives the number of requests that were cut.
 */
internal class GracefulStop(
    private val dataPlane: DataPlane,
    private val listener: Channel,
    private val refuseAt: Timestamp,
    private val endBy: Timestamp,
    private val onStopped: (cut: Int) -> Unit,
) {
    private var steps: Future<*>? = null
    private var ended = false

    fun start() {
        dataPlane.draining = true
        steps = dataPlane.loop.scheduleRepeating(CHECK_MILLIS, "graceful stop", ::step)
        dataPlane.loop.scheduleOnce(endBy - ProcessClock.now(), "end of stop", ::end)
        step()
    }

    private fun step() {
        val now = ProcessClock.now()
        if (now >= refuseAt) {
            dataPlane.closed = true
            for (c in dataPlane.connections.toList()) guarded("close unused") { c.closeUnused(now) }
        }
        val answered = dataPlane.closed && dataPlane.activeExchanges == 0
        if (answered && listener.isOpen) listener.close()
        if (answered && dataPlane.connections.isEmpty()) end()
    }

    private fun end() {
        if (ended) return
        ended = true
        steps?.cancel(false)
        // The event loop writes the last bytes of a response in its next iteration.
        dataPlane.loop.scheduleOnce(FLUSH_DELAY, "stopped") { onStopped(dataPlane.activeExchanges) }
    }

    private companion object {
        const val CHECK_MILLIS = 50L
        val FLUSH_DELAY: Duration = 30.milliseconds
    }
}
