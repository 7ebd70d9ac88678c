/**
 * Plans the expert placement of one group, once per interval and immediately after a straggler is detected. All layers
 * share one placement, with the loads summed over the layers. Pure and deterministic.
 */
package org.jujubelead.core.placement

public class PlacementPolicy(private val settings: PlacementSettings) {
    /**
     * Plans the next placement.
     *
     * @param loads load of each expert in the last interval, in an arbitrary unit.
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
        val budget = minOf(state.budget + perInterval, perInterval * MAX_BUDGET_INTERVALS)
        val search = PlacementSearch(
            start = current,
            loads = smoothed.toDoubleArray(),
            capacities = capacities.toDoubleArray(),
            slotsPerRank = settings.slotsPerRank,
        )
        search.improve(budget = minOf(budget.toInt(), MAX_MOVES), minGain = settings.minGain)
        val next = rebuildIfBetter(current, search.placement, smoothed, capacities, budget)
        val moves = current.moves(next)
        return PlacementPlan(
            state = PlacementState(loads = smoothed, budget = budget - moves),
            placement = next,
            moves = moves,
            expectedSkew = next.skew(smoothed, capacities),
        )
    }

    /**
     * Returns a placement built from scratch if it is clearly better than [improved] and the saved budget covers its
     * moves. Improvement by single changes ends in a local optimum.
     */
    private fun rebuildIfBetter(
        current: ExpertPlacement,
        improved: ExpertPlacement,
        loads: List<Double>,
        capacities: List<Double>,
        budget: Double,
    ): ExpertPlacement {
        if (budget < capacities.size) return improved
        val scratch = greedyPlacement(loads, capacities, settings.slotsPerRank).matchedTo(current, capacities)
        val better = scratch.skew(loads, capacities) * MIN_REBUILD_GAIN < improved.skew(loads, capacities)
        return if (better && current.moves(scratch) <= budget) scratch else improved
    }

    private fun smooth(before: List<Double>, loads: List<Double>): List<Double> =
        if (before.size !=
            loads.size
        ) {
            loads
        } else {
            loads.mapIndexed { i, x -> before[i] + LOAD_SMOOTHING * (x - before[i]) }
        }

    public companion object {
        /** Unused budget is saved for up to this many intervals. At a skew weight of 0.9 it covers a full rebuild. */
        public const val MAX_BUDGET_INTERVALS: Double = 12.0

        /** Minimum factor by which a placement built from scratch must lower the skew. */
        private const val MIN_REBUILD_GAIN = 1.02

        /** Weight of the latest interval in the smoothed load. */
        private const val LOAD_SMOOTHING = 0.5

        /** Bounds the duration of one planning run; further moves follow in the next interval. */
        private const val MAX_MOVES = 20
    }
}
