/** Input, state and output of [PlacementPolicy]. */
package org.jujubelead.core.placement

import kotlin.math.pow

/**
 * Settings for planning the placement of a group.
 *
 * @property skewWeight weight of a low step-time skew against few moved expert weights, from 0 to 1; from the settings
 * tree.
 * @property slotsPerRank number of expert copies that a rank can hold, including spare slots.
 */
public data class PlacementSettings(val skewWeight: Double, val slotsPerRank: Int) {
    init {
        require(skewWeight in 0.0..1.0) { "skewWeight is $skewWeight; allowed are values from 0 to 1" }
        require(slotsPerRank > 0) { "slotsPerRank is $slotsPerRank; a rank needs at least one slot" }
    }

    /** Copies that may be moved per interval, as a fraction of all slots. Both limits come from the tuning traces. */
    public val budgetPerInterval: Double get() = MIN_BUDGET + (MAX_BUDGET - MIN_BUDGET) * skewWeight * skewWeight

    /** Minimum gain in relative step time per moved copy. */
    public val minGain: Double
        get() = MIN_GAIN + (MAX_GAIN - MIN_GAIN) * (1 - skewWeight).pow(GAIN_POWER)

    private companion object {
        const val MIN_BUDGET = 0.004
        const val MAX_BUDGET = 0.095
        const val MIN_GAIN = 0.0002
        const val MAX_GAIN = 0.01
        const val GAIN_POWER = 4
    }
}

/**
 * State of the policy between intervals.
 *
 * @property loads smoothed load of each expert; empty before the first interval.
 * @property budget copies that may be moved now; unused budget accumulates over at most
 * [PlacementPolicy.MAX_BUDGET_INTERVALS] intervals.
 */
public data class PlacementState(val loads: List<Double> = emptyList(), val budget: Double = 0.0)

/**
 * A planned placement.
 *
 * @property placement the placement to change to; equal to the current one when no move gains enough.
 * @property moves number of expert copies to load.
 * @property expectedSkew time of the slowest rank divided by the mean over all ranks, under the smoothed loads.
 */
public data class PlacementPlan(
    val state: PlacementState,
    val placement: ExpertPlacement,
    val moves: Int,
    val expectedSkew: Double,
)
