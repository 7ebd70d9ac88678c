/**
 * Keeps the latest report of slow ranks of each group. A report that is not repeated expires, since its coordinator
 * can be lost while a rank recovers. Runs on the data plane's event loop.
 */
package org.jujubelead.gateway.peers

import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param onChange called when the slow ranks or their step times have changed. */
internal class SlowRankTracker(private val log: EventLog, private val onChange: () -> Unit) {
    private class Received(val report: SlowRankReport, val at: Timestamp)

    private val received = HashMap<Int, Received>()

    /** Step time of [replica] relative to a healthy rank. */
    fun relativeStepTime(replica: Endpoint): Double {
        val hash = SlowRankReport.hash(replica)
        return received.values.firstNotNullOfOrNull { it.report.paces[hash] } ?: 1.0
    }

    fun onReport(report: SlowRankReport, now: Timestamp) {
        val last = received[report.group]?.report
        if (last != null && !report.newerThan(last)) return
        received[report.group] = Received(report, now)
        if (last?.paces.orEmpty() == report.paces) return
        log.log(LogEvent.SLOW_RANKS_CHANGED, "count" to report.paces.size, "term" to report.term)
        onChange()
    }

    fun expire(now: Timestamp) {
        val slow = received.values.any { it.report.paces.isNotEmpty() }
        if (received.values.removeIf { now - it.at > EXPIRY } && slow) onChange()
    }

    private companion object {
        /** Tolerates lost reports and the election of a new coordinator before a slow rank is considered healthy. */
        val EXPIRY: Duration = 3.seconds
    }
}
