/**
 * Plans the next expert map of a group from the experts that its tokens chose of late.
 *
 * A pass takes, set by set, as long as its most loaded rank, so the plan lowers the sum of these maxima. A new map is
 * proposed when the passes become shorter by more than a least gain, since loading experts makes them longer for a
 * while. Mutable; owned by the control thread.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.placement.improvePlacement
import org.jujubelead.core.placement.rankTimes
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A proposal.
 *
 * @property gain part of the time of the experts' work that it saves.
 */
public class MapProposal(public val map: GroupMap, public val gain: Double)

/**
 * @param decayTime time after which a choice of experts counts a third, unless demand shifts before.
 * @param minGain part of the time of the experts' work that a change has to save.
 */
public class MapPlanner(
    private val layout: ExpertLayout,
    private val decayTime: Duration = DEFAULT_DECAY_TIME,
    private val minGain: Double = DEFAULT_MIN_GAIN,
) {
    private val demand = ExpertDemand(layout.sets, layout.experts, decayTime)
    private var planningFrom: GroupMap? = null
    private val planned = ArrayList<ExpertPlacement>()
    private var before = 0.0
    private var after = 0.0

    /**
     * Adds how often one rank's tokens chose each expert of some sets from [firstSet] on, in the order of sets and
     * experts.
     */
    public fun recordChoices(firstSet: Int, counts: List<Int>, now: Timestamp) {
        demand.recordChoices(firstSet, counts, now)
    }

    /** Part of the recent choices that fall on other experts than before, averaged over the sets. */
    public val drift: Double get() = (0 until layout.sets).sumOf { demand.drift(it) } / layout.sets

    /** Load of the most loaded rank of a set over the mean, averaged over the sets; null without choices. */
    public fun imbalance(current: GroupMap): Double? {
        val even = List(current.first().ranks.size) { 1.0 }
        val factors = current.indices.mapNotNull { set ->
            if (demand.choices(set) <= 0) return@mapNotNull null
            current[set].rankTimes(demand.shares(set), even).max() * even.size
        }
        return if (factors.isEmpty()) null else factors.average()
    }

    /**
     * Goes on planning by one set, which bounds the time of a call. Returns a proposal when the last set is planned and
     * the change is worth its cost, and null otherwise.
     *
     * @param slowdowns relative time of each rank's work.
     */
    public fun planNextSet(current: GroupMap, slowdowns: List<Double>): MapProposal? {
        if (current !== planningFrom) restart(current)
        if (planned.isEmpty()) demand.discardBeforeShift()
        val capacities = slowdowns.map { 1.0 / it.coerceIn(1.0, MAX_SLOWDOWN) }
        val placement = current[planned.size]
        if (demand.choices(planned.size) < MIN_CHOICES) {
            restart(current)
            return null
        }
        val load = demand.shares(planned.size)
        val next = improvePlacement(
            start = placement,
            loads = load,
            capacities = capacities,
            slotsPerRank = layout.slotsPerRank,
            budget = minOf(MAX_MOVES, slowdowns.size * layout.spareSlotsPerRank),
            minGain = MIN_GAIN_PER_MOVE,
            maxLoadsPerRank = layout.spareSlotsPerRank,
            candidates = CANDIDATES,
        )
        before += placement.rankTimes(load, capacities).max()
        after += next.rankTimes(load, capacities).max()
        planned += next
        if (planned.size < current.size) return null
        val gain = 1 - after / before
        val proposal = if (gain >= minGain) MapProposal(planned.toList(), gain) else null
        restart(current)
        return proposal
    }

    /** Drops a plan that has been begun. */
    public fun discardPlan() {
        planned.clear()
        before = 0.0
        after = 0.0
    }

    /** True when the next call of [planNextSet] begins a new plan. */
    public val idle: Boolean get() = planned.isEmpty()

    private fun restart(current: GroupMap) {
        planningFrom = current
        discardPlan()
    }

    public companion object {
        /** Demand shifts every few seconds; a shorter time leaves too few choices to tell shares apart. */
        public val DEFAULT_DECAY_TIME: Duration = 1_500.milliseconds

        /** Loading makes passes 15 in 100 longer for about half a second of the some seconds that a map lasts. */
        public const val DEFAULT_MIN_GAIN: Double = 0.1

        /** Least gain in the time of the slowest rank for each expert that is loaded. */
        private const val MIN_GAIN_PER_MOVE = 0.01

        /** Expert copies that one change loads in a set; the rest follows in the next change. */
        private const val MAX_MOVES = 63

        /** Ranks and experts that are considered for each move. */
        private const val CANDIDATES = 12

        /** With fewer choices in a set the shares of experts are chance. */
        private const val MIN_CHOICES = 2_000.0

        /** A slower rank does not lose more of its share: it is about to be replaced or to recover. */
        private const val MAX_SLOWDOWN = 8.0

        /** The map of a new group: experts in turn. */
        public fun initialMap(layout: ExpertLayout, ranks: Int): GroupMap = List(layout.sets) {
            ExpertPlacement(List(ranks) { r -> (0 until layout.experts).filter { it % ranks == r } })
        }
    }
}
