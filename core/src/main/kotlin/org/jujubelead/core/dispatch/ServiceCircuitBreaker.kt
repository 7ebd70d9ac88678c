/**
 * Circuit breaker of a service, which detects that the service fails as a whole.
 *
 * The ranks of a group fail together: while one of them is cut off, all of them stall and then reject their requests.
 * Requests sent meanwhile only wait for that rejection, and their callers then retry too early. After several
 * consecutive failures without an answer, the breaker opens: one request at a time is sent as a probe, and the others
 * are refused at once with a long retry delay. The first answer closes it. Not thread-safe; used on the traffic thread
 * only.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class ServiceCircuitBreaker {
    private var failures = 0
    private var nextProbeAt = Timestamp.ZERO

    private val open: Boolean get() = failures >= FAILURE_THRESHOLD

    fun responseStarted() {
        failures = 0
    }

    fun attemptEnded(outcome: AttemptOutcome, now: Timestamp) {
        when (outcome) {
            AttemptOutcome.ANSWERED -> failures = 0

            AttemptOutcome.FULL, AttemptOutcome.FAILED -> {
                failures++
                if (open) nextProbeAt = maxOf(nextProbeAt, now + PROBE_INTERVAL)
            }

            AttemptOutcome.MISPLACED, AttemptOutcome.ABANDONED -> Unit
        }
    }

    /** Whether a request may be sent now. */
    fun allowsRequest(now: Timestamp): Boolean = !open || now >= nextProbeAt

    /** Called when a request was sent. While the breaker is open, that request is a probe. */
    fun requestPlaced(now: Timestamp) {
        if (open) nextProbeAt = now + PROBE_TIMEOUT
    }

    private companion object {
        /** More consecutive failures than a few bad replicas cause among healthy ones. */
        const val FAILURE_THRESHOLD = 8

        /** A group re-forms within a second; probes at this interval detect that soon after. */
        val PROBE_INTERVAL: Duration = 150.milliseconds

        /** A probe that is neither answered nor rejected within this time is followed by another one. */
        val PROBE_TIMEOUT: Duration = 300.milliseconds
    }
}
