/**
 * Tells when a service fails as a whole.
 *
 * The ranks of a group fail together: while one is cut off, all of them stall and then reject what they have. Requests
 * offered meanwhile only wait for their rejection and then come back too early. After some attempts in a row have
 * failed with none answered, one request at a time is placed as a probe, and the others are refused at once with a long
 * pause. The first answer ends the outage. Mutable; owned by the traffic thread.
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

    /** Whether a request may be placed now. */
    fun allowsRequest(now: Timestamp): Boolean = !open || now >= nextProbeAt

    /** A request was placed; in an outage it is a probe. */
    fun requestPlaced(now: Timestamp) {
        if (open) nextProbeAt = now + PROBE_TIMEOUT
    }

    private companion object {
        /** More failures in a row than a few bad replicas cause among sound ones. */
        const val FAILURE_THRESHOLD = 8

        /** A group forms anew within a second; probes notice it soon after. */
        val PROBE_INTERVAL: Duration = 150.milliseconds

        /** A probe that is neither answered nor rejected for so long is followed by another one. */
        val PROBE_TIMEOUT: Duration = 300.milliseconds
    }
}
