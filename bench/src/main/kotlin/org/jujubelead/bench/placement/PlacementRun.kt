/** Runs the policy and the baselines over one trace, interval by interval. */
package org.jujubelead.bench.placement

import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.placement.PlacementPolicy
import org.jujubelead.core.placement.PlacementSettings
import org.jujubelead.core.placement.PlacementState
import org.jujubelead.core.placement.RankSpeed
import org.jujubelead.core.placement.RankSpeedTracker
import org.jujubelead.core.placement.greedyPlacement
import org.jujubelead.core.placement.lowerBoundTime
import org.jujubelead.core.placement.matchedTo
import org.jujubelead.core.placement.skew
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Steps observed per interval; an interval has about 200, of which the rest would only add time to the run. */
private const val OBSERVED_STEPS = 40

/** Intervals left out at the start, in which every policy leaves the initial placement. */
internal const val WARM_UP = 10

private const val NANOS_PER_MILLI = 1e6
private const val SLOW_STEP = 1.5
private const val STEP_NOISE = 0.03

/**
 * Figures of one policy on one trace.
 *
 * @property moves copies moved after the warm-up; [warmUpMoves] are those moved in it.
 * @property decisionCpuMillis processor time of each decision, which leaves out the other processes of the machine.
 */
internal class PlacementFigures(
    val trace: String,
    val policy: String,
    val skews: List<Double>,
    val moves: Int,
    val warmUpMoves: Int,
    val decisionMillis: List<Double>,
    val decisionCpuMillis: List<Double>,
) {
    val mean get() = skews.average()
    val max get() = skews.max()
    val p95 get() = skews.sorted()[(skews.size * 95 / 100).coerceAtMost(skews.size - 1)]
}

/** When the straggler was found, in steps after its start, and how many other ranks were ever taken for one. */
internal class StragglerFigures(val stepsToFind: Int?, val wronglyFound: Int)

internal sealed interface Policy {
    val label: String

    data class Planned(override val label: String, val skewWeight: Double) : Policy

    data object Static : Policy {
        override val label = "static"
    }

    data object Recomputed : Policy {
        override val label = "recomputed"
    }

    /** As [Recomputed], with ranks trading contents so that fewer copies move. */
    data object RecomputedMatched : Policy {
        override val label = "recomputed-matched"
    }

    data object NoReplicas : Policy {
        override val label = "no-replicas"
    }

    data object LowerBound : Policy {
        override val label = "lower-bound"
    }
}

internal class PlacementRun(private val trace: LoadTrace, private val slotsPerRank: Int, seed: Long) {
    private val ranks = trace.speeds.first().size
    private val experts = trace.loads.first().size
    private val random = Random(seed)
    private val threads = ManagementFactory.getThreadMXBean()

    /** Capacities known at the start of each interval, and what the tracker found. */
    private val capacities = ArrayList<List<Double>>()
    val straggler: StragglerFigures = observe()

    /** The tracker watches ranks under an even load; only the ratio to the expected time matters to it. */
    private fun observe(): StragglerFigures {
        var tracker = RankSpeedTracker(List(ranks) { RankSpeed() })
        var slowSince: Int? = null
        var found: Int? = null
        val wrong = HashSet<Int>()
        val expected = List(ranks) { 1.0 }
        for ((i, speeds) in trace.speeds.withIndex()) {
            capacities += tracker.capacities
            repeat(OBSERVED_STEPS) { s ->
                val step = i * OBSERVED_STEPS + s
                if (slowSince == null && speeds[LoadTrace.FAULTY_RANK] < 1) slowSince = step
                tracker = tracker.after(measured = List(ranks) { stepTime(it, speeds[it]) }, expected = expected)
                tracker.ranks.forEachIndexed { r, rank ->
                    if (rank.straggler && (r != LoadTrace.FAULTY_RANK || slowSince == null)) wrong += r
                }
                val since = slowSince
                if (found == null && since != null && tracker.ranks[LoadTrace.FAULTY_RANK].straggler) {
                    found = step - since + 1
                }
            }
        }
        return StragglerFigures(stepsToFind = found, wronglyFound = wrong.size)
    }

    private fun stepTime(rank: Int, speed: Double): Double {
        val slow = rank == LoadTrace.FAULTY_RANK && random.nextDouble() < trace.slowStepShare
        return (1 + STEP_NOISE * (2 * random.nextDouble() - 1)) / speed * (if (slow) SLOW_STEP else 1.0)
    }

    fun run(policy: Policy): PlacementFigures {
        var placement = ExpertPlacement.contiguous(ranks, experts)
        var state = PlacementState()
        val skews = ArrayList<Double>()
        val millis = ArrayList<Double>()
        val cpuMillis = ArrayList<Double>()
        val moves = ArrayList<Int>()
        for (i in trace.loads.indices) {
            if (i > 0) {
                val begin = System.nanoTime()
                val cpuBegin = threads.currentThreadCpuTime
                val (next, nextState) = decide(policy, placement, state, i)
                millis += (System.nanoTime() - begin) / NANOS_PER_MILLI
                cpuMillis += (threads.currentThreadCpuTime - cpuBegin) / NANOS_PER_MILLI
                moves += placement.moves(next)
                placement = next
                state = nextState
            }
            skews += if (policy == Policy.LowerBound) bound(i) else placement.skew(trace.loads[i], trace.speeds[i])
        }
        return PlacementFigures(
            trace = trace.name,
            policy = policy.label,
            skews = skews.drop(WARM_UP),
            moves = moves.drop(WARM_UP).sum(),
            warmUpMoves = moves.take(WARM_UP).sum(),
            decisionMillis = millis,
            decisionCpuMillis = cpuMillis,
        )
    }

    private fun bound(i: Int): Double {
        val spare = ranks * slotsPerRank - experts
        val lowest = lowerBoundTime(trace.loads[i], trace.speeds[i], spare)
        return lowest / (trace.loads[i].sum() / trace.speeds[i].sum())
    }

    /** Decides with the loads of the interval before. */
    private fun decide(
        policy: Policy,
        current: ExpertPlacement,
        state: PlacementState,
        i: Int,
    ): Pair<ExpertPlacement, PlacementState> {
        val loads = trace.loads[i - 1]
        return when (policy) {
            Policy.Static, Policy.LowerBound -> current to state

            Policy.Recomputed -> greedyPlacement(loads, capacities[i], slotsPerRank) to state

            Policy.RecomputedMatched -> greedyPlacement(loads, capacities[i], slotsPerRank)
                .matchedTo(current, capacities[i]) to state

            Policy.NoReplicas -> greedyPlacement(loads, capacities[i], slotsPerRank, replicas = false) to state

            is Policy.Planned -> {
                val settings = PlacementSettings(skewWeight = policy.skewWeight, slotsPerRank = slotsPerRank)
                val plan = PlacementPolicy(settings).plan(state, current, loads, capacities[i])
                plan.placement to plan.state
            }
        }
    }
}
