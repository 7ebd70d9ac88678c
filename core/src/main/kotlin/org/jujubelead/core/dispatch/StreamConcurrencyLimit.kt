/**
 * Limits the concurrent requests of a service so that the gaps between the events of its streams stay within their
 * objective.
 *
 * Engines process all running requests in each pass, and a stream gets one event per pass. Passes become longer with
 * the number of running requests, and suddenly so when the expert map of a group does not fit the demand. At such a
 * moment, full batches make every running stream late while they hardly process more requests per second than smaller
 * ones. The limit is derived from the gaps that callers see: a pass consists of a fixed part and of a part that is
 * proportional to the running requests, and the limit is the number of requests at which both fit into the objective.
 *
 * The load it answers is one that nearly fills the batches, such as the seconds after a shift of demand or a burst.
 * With less load, gaps are short and the limit is the number of slots. Not thread-safe; used on the traffic thread
 * only.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class StreamConcurrencyLimit {
    private val ratios = ArrayList<Double>()
    private var fixedRatio = 0.0
    private var windowEnd = Timestamp.ZERO

    /** Fraction of the slots that may be in use. */
    var fraction = 1.0
        private set

    /**
     * Records the [gap] between two events of a stream whose objective is [maxGap].
     *
     * @param fixedGap part of a pass that does not depend on the number of running requests.
     * @param utilization fraction of the slots in use, by all instances.
     */
    fun recordGap(gap: Duration, maxGap: Duration, fixedGap: Duration, utilization: Double, now: Timestamp) {
        val ratio = gap / maxGap
        if (ratio > MAX_RATIO) return
        ratios += ratio
        fixedRatio = fixedGap / maxGap
        if (now < windowEnd) return
        if (ratios.size >= MIN_SAMPLES) update(ratios.sorted()[ratios.size / 2], utilization)
        ratios.clear()
        windowEnd = now + WINDOW
    }

    private fun update(ratio: Double, utilization: Double) {
        val available = (TARGET_RATIO - fixedRatio).coerceAtLeast(0.0)
        val loadDependent = (ratio - fixedRatio).coerceAtLeast(MIN_LOAD_RATIO)
        val next = (utilization * available / loadDependent).coerceIn(MIN_FRACTION, 1.0)
        fraction += (next - fraction) * WEIGHT
    }

    private companion object {
        /** Leaves room for the variation of passes and for the way to the caller. */
        const val TARGET_RATIO = 0.85

        /** Longer gaps are stalls of a group or of a connection, which fewer requests would not shorten. */
        const val MAX_RATIO = 4.0

        /** Lower bound of the load-dependent part; gaps this short do not limit anything. */
        const val MIN_LOAD_RATIO = 0.05

        /** With fewer requests, the fixed part of the passes costs more than shorter gaps gain. */
        const val MIN_FRACTION = 0.5

        /** Weight of the latest window in the moving average. */
        const val WEIGHT = 0.6
        const val MIN_SAMPLES = 6

        /** About two passes. */
        val WINDOW: Duration = 150.milliseconds
    }
}
