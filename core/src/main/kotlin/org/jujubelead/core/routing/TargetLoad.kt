/**
 * An entry's estimate of the load of one target.
 *
 * The entry counts its own requests exactly. Load reports cover the requests of all entries but arrive late. The load
 * from other entries is therefore the reported load minus the entry's own requests at the time of the report, weighted
 * less as the report ages.
 */
package org.jujubelead.core.routing

import org.jujubelead.core.membership.Target
import org.jujubelead.core.time.Timestamp
import kotlin.math.exp

/**
 * Load of a target as reported by its agent.
 *
 * @property running requests in the running batch.
 * @property waiting requests that wait for a slot in the batch.
 * @property capacity maximum number of requests that run at the same time.
 */
public data class LoadReport(val running: Int, val waiting: Int, val capacity: Int)

/** Mutable; owned by the control thread. */
public class TargetLoad internal constructor(public val target: Target) {
    /** Requests of this entry that are in flight on the target. */
    public var inFlight: Int = 0
        private set

    /** Work units of this entry's requests that have not produced a first token yet. */
    public var pendingWorkUnits: Int = 0
        internal set

    /** The latest report; null before the first one. */
    public var report: LoadReport? = null
        private set

    /** Time at which the latest report was made, on the entry's clock. */
    public var reportedAt: Timestamp = Timestamp.ZERO
        private set

    /** Smoothed time per token or answer relative to the mean of the target set; 2 means half as fast. */
    public var slowness: Double = 1.0
        internal set

    internal var otherRequestsAtReport = 0
    internal var hash = 0L

    /** The pool that last included this target; null when no pool has included it. */
    internal var pool: TargetPool? = null

    // Allocated lazily because most targets never receive a request from this entry.
    private val changeTimes by lazy(LazyThreadSafetyMode.NONE) { LongArray(HISTORY_SIZE) }
    private val changeCounts by lazy(LazyThreadSafetyMode.NONE) { IntArray(HISTORY_SIZE) }
    private var changes = 0

    /**
     * Estimated number of requests in flight from all entries.
     *
     * @param meanOtherRequests mean number of requests from other entries per target; it replaces the reported number
     * as the report ages.
     * @param reportDecaySeconds age at which a report has lost 63 % of its weight.
     * @param maxReportWeight weight of a report that was made just now.
     */
    public fun outstanding(
        now: Timestamp,
        meanOtherRequests: Double,
        reportDecaySeconds: Double,
        maxReportWeight: Double = 1.0,
    ): Double {
        val age = (now.micros - reportedAt.micros).coerceAtLeast(0)
        val weight = if (report == null) 0.0 else maxReportWeight * exp(-age / (reportDecaySeconds * MICROS_PER_SECOND))
        return inFlight + weight * otherRequestsAtReport + (1 - weight) * meanOtherRequests
    }

    internal fun inFlightChanged(by: Int, now: Timestamp) {
        inFlight = (inFlight + by).coerceAtLeast(0)
        val slot = changes++ % HISTORY_SIZE
        changeTimes[slot] = now.micros
        changeCounts[slot] = inFlight
    }

    /** Applies a report; returns false when a later one is already known. */
    internal fun reported(report: LoadReport, madeAt: Timestamp): Boolean {
        if (this.report != null && madeAt < reportedAt) return false
        this.report = report
        reportedAt = madeAt
        otherRequestsAtReport = (report.running + report.waiting - inFlightAt(madeAt)).coerceAtLeast(0)
        return true
    }

    /** The entry's own requests in flight at [time], or at the oldest recorded change when [time] is earlier. */
    private fun inFlightAt(time: Timestamp): Int {
        val remembered = minOf(changes, HISTORY_SIZE)
        for (back in 1..remembered) {
            val slot = (changes - back) % HISTORY_SIZE
            if (changeTimes[slot] <= time.micros) return changeCounts[slot]
        }
        return if (changes > HISTORY_SIZE) changeCounts[changes % HISTORY_SIZE] else 0
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000.0

        /** Number of recorded changes of [inFlight], used to subtract the entry's own requests from late reports. */
        const val HISTORY_SIZE = 64
    }
}
