/**
 * What an entry knows about the load of one target.
 *
 * The entry's own count is exact. Reports cover all entries but are late, so the work of other entries is the reported
 * work less the entry's own when the report was made, and counts for less the older it is.
 */
package org.jujubelead.core.routing

import org.jujubelead.core.membership.Target
import org.jujubelead.core.time.Timestamp
import kotlin.math.exp

/**
 * Load as an agent reports it.
 *
 * @property running requests in the running batch.
 * @property waiting requests that wait for a place in it.
 * @property capacity requests the target can run at once.
 */
public data class LoadReport(val running: Int, val waiting: Int, val capacity: Int)

/** Mutable; owned by the control thread. */
public class TargetLoad internal constructor(public val target: Target) {
    /** Requests of this entry in progress on the target. */
    public var inFlight: Int = 0
        private set

    /** Work units of this entry's requests that have no first token yet. */
    public var pendingUnits: Int = 0
        internal set

    /** The last report; null before the first. */
    public var report: LoadReport? = null
        private set

    /** When the last report was made, on the entry's clock. */
    public var reportedAt: Timestamp = Timestamp.ZERO
        private set

    /** Pace of answers relative to the mean of the target set, smoothed; 1 is usual, 2 is half as fast. */
    public var slowness: Double = 1.0
        internal set

    internal var othersAtReport = 0
    internal var hash = 0L

    /** The pool that draws from this target; null when it is not a candidate or not in the subset. */
    internal var pool: TargetPool? = null

    // Most known targets never get a request of this entry; they need no history.
    private val changeTimes by lazy(LazyThreadSafetyMode.NONE) { LongArray(HISTORY) }
    private val changeCounts by lazy(LazyThreadSafetyMode.NONE) { IntArray(HISTORY) }
    private var changes = 0

    /**
     * Requests in progress of all entries. The part of the others moves from the reported to the usual number
     * [meanOtherRequests] as the report gets older, by 63 % in [reportDecaySeconds], and starts at [maxReportWeight] of the reported.
     */
    public fun outstanding(
        now: Timestamp,
        meanOtherRequests: Double,
        reportDecaySeconds: Double,
        maxReportWeight: Double = 1.0,
    ): Double {
        val age = (now.micros - reportedAt.micros).coerceAtLeast(0)
        val trust = if (report == null) 0.0 else maxReportWeight * exp(-age / (reportDecaySeconds * MICROS_PER_SECOND))
        return inFlight + trust * othersAtReport + (1 - trust) * meanOtherRequests
    }

    internal fun inFlightChanged(by: Int, now: Timestamp) {
        inFlight = (inFlight + by).coerceAtLeast(0)
        val slot = changes++ % HISTORY
        changeTimes[slot] = now.micros
        changeCounts[slot] = inFlight
    }

    /** False when a later report is known already. */
    internal fun reported(report: LoadReport, madeAt: Timestamp): Boolean {
        if (this.report != null && madeAt < reportedAt) return false
        this.report = report
        reportedAt = madeAt
        othersAtReport = (report.running + report.waiting - inFlightAt(madeAt)).coerceAtLeast(0)
        return true
    }

    /** The own count at [time]; the oldest remembered one when [time] is before all that is remembered. */
    private fun inFlightAt(time: Timestamp): Int {
        val remembered = minOf(changes, HISTORY)
        for (back in 1..remembered) {
            val slot = (changes - back) % HISTORY
            if (changeTimes[slot] <= time.micros) return changeCounts[slot]
        }
        return if (changes > HISTORY) changeCounts[changes % HISTORY] else 0
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000.0

        /** Changes of the own count that are remembered, to subtract it from late reports. */
        const val HISTORY = 64
    }
}
