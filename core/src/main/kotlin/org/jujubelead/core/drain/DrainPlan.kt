/** When a zone drains for a maintenance window, when it returns, and whether the other zones can handle the load. */
package org.jujubelead.core.drain

import org.jujubelead.core.ids.ZoneId
import kotlin.time.Duration
import kotlin.time.Instant

/** A maintenance window as announced by the operator of the facility. */
public data class MaintenanceWindow(val zone: ZoneId, val start: Instant, val end: Instant)

/** Number of requests of one target set that the targets of a zone can process concurrently. */
public data class ZoneCapacity(val zone: ZoneId, val targetSet: String, val capacity: Double)

/** Expected maximum number of concurrent requests for one target set in all zones. */
public data class ExpectedLoad(val targetSet: String, val load: Double)

/** Whether the remaining zones can handle the load of one target set during the window. */
public data class CapacityCheck(val targetSet: String, val load: Double, val remaining: Double) {
    public val sufficient: Boolean get() = load <= remaining

    /** Result of the check as text for the operator. */
    public val message: String
        get() = if (sufficient) {
            "$targetSet: the other zones can run %.0f requests at once, %.0f are expected".format(remaining, load)
        } else {
            "$targetSet: the other zones can run only %.0f requests at once, %.0f are expected (%.0f too many)"
                .format(remaining, load, load - remaining)
        }
}

/**
 * @property drainAt when agents and entries of the zone start to refuse new requests.
 * @property returnAt when they accept new requests again.
 * @property checks one capacity check for each expected load.
 */
public data class DrainPlan(
    val window: MaintenanceWindow,
    val drainAt: Instant,
    val returnAt: Instant,
    val checks: List<CapacityCheck>,
) {
    public val hasEnoughCapacity: Boolean get() = checks.all { it.sufficient }

    /** True while the zone accepts no new requests. */
    public fun isDraining(at: Instant): Boolean = at >= drainAt && at < returnAt

    public companion object {
        /** Fraction of the remaining capacity that the plan may use. */
        public const val USABLE_FRACTION: Double = 0.9

        /**
         * @param drainLead minimum time between the start of the drain and the window, from the settings.
         * @param remainingWork 99th percentile of the remaining time of requests in progress; null if not measured.
         * @param otherWindows windows of other zones. A zone whose window overlaps this drain has no capacity.
         */
        public fun of(
            window: MaintenanceWindow,
            drainLead: Duration,
            remainingWork: Duration?,
            capacities: List<ZoneCapacity> = emptyList(),
            loads: List<ExpectedLoad> = emptyList(),
            otherWindows: List<MaintenanceWindow> = emptyList(),
        ): DrainPlan {
            val lead = maxOf(drainLead, remainingWork ?: Duration.ZERO)
            val drainAt = window.start - lead
            val unavailable =
                otherWindows.filter { it.start - lead < window.end && it.end > drainAt }.map { it.zone } + window.zone
            val checks = loads.map { expected ->
                val others = capacities.filter { it.targetSet == expected.targetSet && it.zone !in unavailable }
                CapacityCheck(expected.targetSet, expected.load, others.sumOf { it.capacity } * USABLE_FRACTION)
            }
            return DrainPlan(window, drainAt, window.end, checks)
        }
    }
}
