package org.jujubelead.core.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

class PlacementPolicyTest {
    private val ranks = 16
    private val random = Random(7)
    private val loads = List(32) { 1.0 / (it + 2) }.shuffled(random)
    private val even = List(ranks) { 1.0 }

    private fun plans(skewWeight: Double, intervals: Int, capacities: List<Double> = even): List<PlacementPlan> {
        val policy = PlacementPolicy(PlacementSettings(skewWeight = skewWeight, slotsPerRank = 3))
        val start = PlacementPlan(
            state = PlacementState(),
            placement = ExpertPlacement.contiguous(ranks, loads.size),
            moves = 0,
            expectedSkew = 0.0,
        )
        return generateSequence(start) {
            policy.plan(it.state, it.placement, loads, capacities)
        }.take(intervals).toList()
    }

    /** Guards against experts without a rank, two copies on one rank, and ranks that exceed their slots. */
    @Test
    fun `every placement contains all experts within the slots`() {
        expectThat(plans(skewWeight = 0.9, intervals = 30).map { it.placement }).all {
            get { this.ranks.flatten().toSet() }.hasSize(loads.size)
            get { this.ranks.all { held -> held.size <= 3 && held.toSet().size == held.size } }.isTrue()
        }
    }

    /** Guards against oscillation: under a constant load, moves must stop. */
    @Test
    fun `placement converges to a low skew under a constant load`() {
        val plans = plans(skewWeight = 0.9, intervals = 60)
        expectThat(plans.takeLast(10).sumOf { it.moves }).isEqualTo(0)
        expectThat(plans.last().expectedSkew).isLessThan(plans[1].expectedSkew)
    }

    /** Guards against plans that exceed the budget. */
    @Test
    fun `moves stay within the budget`() {
        val perInterval = PlacementSettings(skewWeight = 0.5, slotsPerRank = 3).budgetPerInterval * ranks * 3
        val moves = plans(skewWeight = 0.5, intervals = 20).sumOf { it.moves }
        expectThat(moves.toDouble()).isLessThanOrEqualTo(perInterval * 19)
    }

    /** Guards against plans that ignore the lower capacity of a straggler. */
    @Test
    fun `a slow rank gets less load`() {
        val slow = plans(
            skewWeight = 1.0,
            intervals = 60,
            capacities = even.mapIndexed { r, c ->
                if (r ==
                    3
                ) {
                    0.5
                } else {
                    c
                }
            },
        )
        val times = slow.last().placement.rankTimes(loads, even)
        expectThat(times[3]).isLessThan(times.average())
    }

    /** Guards against a lower bound that is too high. */
    @Test
    fun `no placement is below the lower bound`() {
        val bound = lowerBoundTime(loads, even, spareSlots = 16)
        val placements = plans(skewWeight = 1.0, intervals = 40).map { it.placement } + greedyPlacement(loads, even, 3)
        expectThat(placements.minOf { it.rankTimes(loads, even).max() }).isGreaterThan(bound * 0.999_999)
    }

    /** Guards against lost copies when the ranks of a new placement are permuted. */
    @Test
    fun `matching keeps the contents of the ranks and adds no moves`() {
        val current = ExpertPlacement.contiguous(ranks, loads.size)
        val scratch = greedyPlacement(loads, even, slotsPerRank = 3)
        val matched = scratch.matchedTo(current, even)
        expectThat(matched.ranks.toSet()).isEqualTo(scratch.ranks.toSet())
        expectThat(current.moves(matched)).isLessThanOrEqualTo(current.moves(scratch))
    }

    /** Guards against late detection of a straggler, and against moves because of occasional slow steps. */
    @Test
    fun `a straggler is detected within six steps and a noisy rank is not`() {
        val slow = generateSequence(RankSpeed()) { it.after(ratio = 1.6) }.drop(6).first()
        expectThat(slow.capacity).isEqualTo(0.6)
        val noisy = (0 until 1_000).fold(RankSpeed()) { rank, i -> rank.after(ratio = if (i % 7 < 2) 1.5 else 1.0) }
        expectThat(noisy.straggler).isFalse()
    }
}
