/**
 * Plans the next expert map of a group based on the experts that its tokens chose recently.
 *
 * For each set, a pass takes as long as its most loaded rank, so the plan minimizes the sum of these maxima. A new map
 * is proposed only if it shortens the passes by more than a minimum gain, because loading experts prolongs them for a
 * while. Not thread-safe; used on the control thread only.
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
 * A proposed map.
 *
 * @property gain fraction of the expert computation time that the map saves.
 */
public class MapProposal(public val map: GroupMap, public val gain: Double)

/**
 * @param decayTime time constant with which recorded choices decay; see [ExpertDemand].
 * @param minGain minimum fraction of the expert computation time that a change must save.
 */
public class MapPlanner(
    private val layout: ExpertLayout,
    private val decayTime: Duration = DEFAULT_DECAY_TIME,
    private val minGain: Double = DEFAULT_MIN_GAIN,
) {
    private val demand = ExpertDemand(layout.sets, layout.experts, decayTime)
    private var planningFrom: GroupMap? = null
    private val planned = ArrayList<ExpertPlacement>()
    private var currentTime = 0.0
    private var plannedTime = 0.0

    /**
     * Adds how often the tokens of one rank chose each expert, for consecutive sets starting with [firstSet]. The
     * counts are ordered by set and then by expert.
     */
    public fun recordChoices(firstSet: Int, counts: List<Int>, now: Timestamp) {
        demand.recordChoices(firstSet, counts, now)
    }

    /** Fraction of the recent choices that fall on other experts than earlier ones did, averaged over the sets. */
    public val drift: Double get() = (0 until layout.sets).sumOf { demand.drift(it) } / layout.sets

    /** Ratio of the maximum to the mean rank load of a set, averaged over the sets; null without choices. */
    public fun imbalance(current: GroupMap): Double? {
        val even = List(current.first().ranks.size) { 1.0 }
        val factors = current.indices.mapNotNull { set ->
            if (demand.choices(set) <= 0) return@mapNotNull null
            current[set].rankTimes(demand.shares(set), even).max() * even.size
        }
        return if (factors.isEmpty()) null else factors.average()
    }

    /**
     * Plans one more set; a call handles a single set to bound its run time. Returns a proposal if the last set is
     * planned and the gain is large enough, and null otherwise.
     *
     * @param slowdowns processing time of each rank relative to normal speed.
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
            minGain = MIN_GAIN_OF_ALL_RANKS / slowdowns.size,
            maxLoadsPerRank = layout.spareSlotsPerRank,
            candidates = CANDIDATES,
        )
        currentTime += placement.rankTimes(load, capacities).max()
        plannedTime += next.rankTimes(load, capacities).max()
        planned += next
        if (planned.size < current.size) return null
        val gain = 1 - plannedTime / currentTime
        val proposal = if (gain >= minGain) MapProposal(planned.toList(), gain) else null
        restart(current)
        return proposal
    }

    /** Discards a partial plan. */
    public fun discardPlan() {
        planned.clear()
        currentTime = 0.0
        plannedTime = 0.0
    }

    /** True if the next call of [planNextSet] starts a new plan. */
    public val idle: Boolean get() = planned.isEmpty()

    private fun restart(current: GroupMap) {
        planningFrom = current
        discardPlan()
    }

    public companion object {
        /** Demand shifts every few seconds. With a shorter time, too few choices remain to distinguish the experts. */
        public val DEFAULT_DECAY_TIME: Duration = 1_500.milliseconds

        /** Loading prolongs passes by 15 % for about half a second, and a map is used for a few seconds. */
        public const val DEFAULT_MIN_GAIN: Double = 0.1

        /**
         * Minimum gain in the time of the slowest rank for each expert that is loaded, times the number of ranks: the
         * more ranks are nearly as slow, the less one move gains.
         */
        private const val MIN_GAIN_OF_ALL_RANKS = 0.12

        /** Maximum number of expert copies that one change loads per set; the rest follows in the next change. */
        private const val MAX_MOVES = 63

        /** Number of ranks and experts considered for each move. */
        private const val CANDIDATES = 6

        /** With fewer choices in a set, their distribution is mostly random. */
        private const val MIN_CHOICES = 2_000.0

        /** Slower ranks do not get a smaller share than this implies, since they are soon replaced or recover. */
        private const val MAX_SLOWDOWN = 8.0
    }
}
