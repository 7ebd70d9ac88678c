/** When a zone drains for a maintenance window, when it returns, and whether the other zones can carry the load. */
package org.jujubelead.core.drain

import org.jujubelead.core.ids.ZoneId
import kotlin.time.Duration
import kotlin.time.Instant

/** A maintenance window as the owner of the facility announced it. */
public data class MaintenanceWindow(val zone: ZoneId, val start: Instant, val end: Instant)

/** Requests that the targets of a zone can run at once for one target set. */
public data class ZoneCapacity(val zone: ZoneId, val targetSet: String, val capacity: Double)

/** Largest number of requests at once expected for one target set, in all zones together. */
public data class ExpectedLoad(val targetSet: String, val load: Double)

/** Whether the rest of the fleet carries the load of one target set during the window. */
public data class CapacityCheck(val targetSet: String, val load: Double, val remaining: Double) {
    public val sufficient: Boolean get() = load <= remaining

    /** The answer for the operator. */
    public val message: String
        get() = if (sufficient) {
            "$targetSet: the other zones can run %.0f requests at once, %.0f are expected".format(remaining, load)
        } else {
            "$targetSet: the other zones can run only %.0f requests at once, %.0f are expected (%.0f too many)"
                .format(remaining, load, load - remaining)
        }
}

/**
 * @property drainAt when agents and entries of the zone start to refuse new work.
 * @property returnAt when they take new work again.
 * @property checks one answer per target set that the zone serves.
 */
public data class DrainPlan(
    val window: MaintenanceWindow,
    val drainAt: Instant,
    val returnAt: Instant,
    val checks: List<CapacityCheck>,
) {
    public val hasEnoughCapacity: Boolean get() = checks.all { it.sufficient }

    /** True while the zone takes no new work. */
    public fun isDraining(at: Instant): Boolean = at >= drainAt && at < returnAt

    public companion object {
        /** Part of the remaining capacity that may be planned for. */
        public const val USABLE_FRACTION: Double = 0.9

        /**
         * @param drainLead least time before the window, from the settings.
         * @param remainingWork 99th percentile of the time that requests in progress still take; null when unmeasured.
         * @param otherWindows windows of other zones. A zone whose window overlaps with this drain carries nothing.
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
