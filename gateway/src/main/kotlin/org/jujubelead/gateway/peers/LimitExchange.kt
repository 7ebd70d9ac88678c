/**
 * Exchanges the request limits that replicas name with the other gateways.
 *
 * A limit is reported at once when it is heard and repeated while it is in force; its end is reported a few times. Runs
 * on the data plane's event loop.
 */
package org.jujubelead.gateway.peers

import org.jujubelead.core.limit.ReplicaLimits
import org.jujubelead.gateway.net.ProcessClock

/** @param heard limits that this gateway has heard, by the hash of the replica. */
internal class LimitExchange(private val limits: ReplicaLimits, private val heard: () -> Map<Int, Double>) {
    private val sequences = HashMap<Long, Int>()
    private var sequence = 0
    private var last: Map<Int, Double> = emptyMap()
    private var promptSends = 0

    /** Called before each load report; returns the report to send to all gateways, or null. */
    fun next(sender: Long, fullReport: Boolean): LimitReport? {
        val current = heard()
        if (current != last) promptSends = PROMPT_SENDS
        last = current
        if (promptSends == 0 && (current.isEmpty() || !fullReport)) return null
        if (promptSends > 0) promptSends--
        return LimitReport(sender, ++sequence, current)
    }

    fun onReport(report: LimitReport) {
        if (report.sequence <= (sequences[report.sender] ?: 0)) return
        sequences[report.sender] = report.sequence
        limits.reported(report.sender, report.limits, ProcessClock.now())
    }

    private companion object {
        /** Tolerates lost datagrams. */
        const val PROMPT_SENDS = 4
    }
}
