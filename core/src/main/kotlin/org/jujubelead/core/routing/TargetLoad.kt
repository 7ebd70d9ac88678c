/**
 * What an entry knows about the load of one target.
 *
 * The entry's own count is exact. Reports cover all entries but are late, so the work of other entries is the reported
 * work less the entry's own at that time, and counts for less the older it is.
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
        internal set

    /** Work units of this entry's requests that have no first token yet. */
    public var pendingUnits: Int = 0
        internal set

    /** The last report; null before the first. */
    public var report: LoadReport? = null
        private set

    /** When the last report arrived. */
    public var reportedAt: Timestamp = Timestamp.ZERO
        private set

    /** Time to the first token relative to that of other targets, smoothed; 1 is usual. */
    public var slowness: Double = 1.0
        internal set

    internal var othersAtReport = 0
    internal var hash = 0L

    /** Requests in progress of all entries, with the part of the others decayed by the age of the report. */
    public fun outstanding(now: Timestamp, othersUsually: Double): Double {
        val age = (now.micros - reportedAt.micros).coerceAtLeast(0)
        val trust = if (report == null) 0.0 else exp(-age / TRUST_MICROS)
        return inFlight + trust * othersAtReport + (1 - trust) * othersUsually
    }

    internal fun reported(report: LoadReport, now: Timestamp) {
        this.report = report
        reportedAt = now
        othersAtReport = (report.running + report.waiting - inFlight).coerceAtLeast(0)
    }

    private companion object {
        /** Age at which a report has lost 63 % of its weight. */
        const val TRUST_MICROS = 2_000_000.0
    }
}
