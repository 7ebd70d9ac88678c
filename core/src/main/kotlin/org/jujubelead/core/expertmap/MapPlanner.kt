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
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * A proposal.
 *
 * @property gain part of the time of the experts' work that it saves.
 */
public class MapProposal(public val map: GroupMap, public val gain: Double)

/**
 * @param memory time after which a choice of experts counts a third.
 * @param leastGain part of the time of the experts' work that a change has to save.
 */
public class MapPlanner(
    private val layout: ExpertLayout,
    private val memory: Duration = DEFAULT_MEMORY,
    private val leastGain: Double = DEFAULT_LEAST_GAIN,
) {
    private val loads = Array(layout.sets) { DoubleArray(layout.experts) }
    private var updatedAt: Timestamp? = null

    /** Adds how often one rank's tokens chose each expert of each set, in the order of sets and experts. */
    public fun observed(counts: List<Int>, now: Timestamp) {
        decay(now)
        for ((i, n) in counts.withIndex()) {
            if (n <= 0 || i >= layout.sets * layout.experts) continue
            loads[i / layout.experts][i % layout.experts] += n.toDouble()
        }
    }

    /** The next map, or null when no change is worth its cost. [paces] is the relative time of each rank's work. */
    public fun plan(current: GroupMap, paces: List<Double>): MapProposal? {
        val capacities = paces.map { 1.0 / it.coerceIn(1.0, MOST_PACE) }
        var before = 0.0
        var after = 0.0
        val map = current.mapIndexed { set, placement ->
            val load = loads[set].toList()
            if (load.sum() < LEAST_CHOICES) return null
            val next = improvePlacement(
                start = placement,
                loads = load,
                capacities = capacities,
                slotsPerRank = layout.placesPerRank,
                budget = paces.size * layout.sparePerRank,
                minGain = LEAST_GAIN_PER_MOVE,
                mostNewPerRank = layout.sparePerRank,
            )
            before += placement.rankTimes(load, capacities).max()
            after += next.rankTimes(load, capacities).max()
            next
        }
        val gain = 1 - after / before
        return if (gain >= leastGain) MapProposal(map, gain) else null
    }

    private fun decay(now: Timestamp) {
        val last = updatedAt
        updatedAt = now
        if (last == null || now <= last) return
        val factor = exp(-(now - last).toDouble(DurationUnit.SECONDS) / memory.toDouble(DurationUnit.SECONDS))
        loads.forEach { set -> for (e in set.indices) set[e] *= factor }
    }

    public companion object {
        /** Demand shifts every few seconds; a shorter memory leaves too few choices to tell shares apart. */
        public val DEFAULT_MEMORY: Duration = 1_500.milliseconds

        /** Loading makes passes 15 in 100 longer for about half a second of the some seconds that a map lasts. */
        public const val DEFAULT_LEAST_GAIN: Double = 0.1

        /** Least gain in the time of the slowest rank for each expert that is loaded. */
        private const val LEAST_GAIN_PER_MOVE = 0.01

        /** With fewer choices in a set the shares of experts are chance. */
        private const val LEAST_CHOICES = 2_000.0

        /** A slower rank does not lose more of its share: it is about to be replaced or to recover. */
        private const val MOST_PACE = 8.0

        /** The map of a new group: experts in turn. */
        public fun initialMap(layout: ExpertLayout, ranks: Int): GroupMap = List(layout.sets) {
            ExpertPlacement(List(ranks) { r -> (0 until layout.experts).filter { it % ranks == r } })
        }
    }
}
