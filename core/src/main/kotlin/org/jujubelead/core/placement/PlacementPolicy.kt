/**
 * Plans the expert placement of one group, once per interval and at once after a straggler is found. Pure and
 * deterministic. One placement serves all layers, with the loads summed over the layers.
 */
package org.jujubelead.core.placement

/** The policy. */
public class PlacementPolicy(private val settings: PlacementSettings) {
    /**
     * Plans the next placement.
     *
     * @param loads load of each expert in the last interval, in any unit.
     * @param capacities relative speed of each rank, 1 for a rank without a fault.
     */
    public fun plan(
        state: PlacementState,
        current: ExpertPlacement,
        loads: List<Double>,
        capacities: List<Double>,
    ): PlacementPlan {
        val smoothed = smooth(state.loads, loads)
        val perInterval = settings.budgetPerInterval * capacities.size * settings.slotsPerRank
        val budget = minOf(state.budget + perInterval, perInterval * BUDGET_INTERVALS)
        val search = PlacementSearch(
            start = current,
            loads = smoothed.toDoubleArray(),
            capacities = capacities.toDoubleArray(),
            slotsPerRank = settings.slotsPerRank,
        )
        search.improve(budget = minOf(budget.toInt(), MAX_MOVES), minGain = settings.minGain)
        val next = fresh(current, search.placement, smoothed, capacities, budget)
        val moves = current.moves(next)
        return PlacementPlan(
            state = PlacementState(loads = smoothed, budget = budget - moves),
            placement = next,
            moves = moves,
            expectedSkew = next.skew(smoothed, capacities),
        )
    }

    /**
     * Single changes end in a local optimum. When a placement from scratch is clearly better and the kept budget pays
     * for it, it is taken instead of [improved].
     */
    private fun fresh(
        current: ExpertPlacement,
        improved: ExpertPlacement,
        loads: List<Double>,
        capacities: List<Double>,
        budget: Double,
    ): ExpertPlacement {
        if (budget < capacities.size) return improved
        val scratch = greedyPlacement(loads, capacities, settings.slotsPerRank).matchedTo(current, capacities)
        val better = scratch.skew(loads, capacities) * FRESH_GAIN < improved.skew(loads, capacities)
        return if (better && current.moves(scratch) <= budget) scratch else improved
    }

    private fun smooth(before: List<Double>, loads: List<Double>): List<Double> =
        if (before.size != loads.size) loads else loads.mapIndexed { i, x -> before[i] + ALPHA * (x - before[i]) }

    public companion object {
        /** Intervals over which unused budget is kept. At a skew weight of 0.9 it pays for a fresh placement. */
        public const val BUDGET_INTERVALS: Double = 12.0

        /** A placement from scratch must lower the skew by this factor. */
        private const val FRESH_GAIN = 1.02

        /** Weight of the newest interval in the smoothed load. */
        private const val ALPHA = 0.5

        /** Bounds the time of one decision; the rest follows in the next interval. */
        private const val MAX_MOVES = 20
    }
}
