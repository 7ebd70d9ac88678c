/**
 * Generated expert loads. Popularity falls off with a power of the expert's place in a random order; each kind of trace
 * changes it over time. Every interval adds noise of a few per cent to each expert.
 */
package org.jujubelead.bench.placement

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.pow
import kotlin.math.sin
import kotlin.random.Random

internal enum class TraceKind(val label: String) {
    DRIFT("slow-drift"),
    SHIFT("sudden-shift"),
    FESTIVAL("festival-spike"),
    STEADY("steady-day"),
    STRAGGLER("straggler"),
    NOISY("noisy-rank"),
}

/**
 * A trace.
 *
 * @property loads for each interval, the load of each expert.
 * @property speeds for each interval, the true speed of each rank.
 * @property slowStepShare share of the noisy rank's steps that take 1.5 times as long.
 */
internal class LoadTrace(
    val name: String,
    val kind: TraceKind,
    val loads: List<List<Double>>,
    val speeds: List<List<Double>>,
    val slowStepShare: Double,
) {
    companion object {
        private const val POPULARITY_POWER = 0.7
        private const val POPULARITY_OFFSET = 4.0
        private const val NOISE = 0.02
        private const val STRAGGLER_SPEED = 0.6
        private const val SLOW_STEP_SHARE = 0.15
        private const val HALF = 0.5

        /** The festival lasts a fifth of the trace and makes one expert in twelve seven times as popular. */
        private const val FESTIVAL_SPREAD = 0.01
        private const val FESTIVAL_SHARE = 0.08
        private const val FESTIVAL_FACTOR = 6
        private const val STEADY_SWING = 0.15
        private const val FAULTY_SWING = 0.1
        private const val UNIFORMS_PER_GAUSSIAN = 12
        private const val SEED_FACTOR = 31
        private const val THIRDS = 3
        const val FAULTY_RANK = 17

        /** Seeds of traces used to choose constants, and of traces used only for reporting. */
        const val TUNING_SEED = 101L
        const val REPORT_SEED = 202L

        fun generate(kind: TraceKind, prefix: String, seed: Long, ranks: Int, experts: Int, intervals: Int): LoadTrace {
            val random = Random(seed * SEED_FACTOR + kind.ordinal)
            val from = popularity(random, experts)
            val to = popularity(random, experts)
            val phase = List(experts) { random.nextDouble() }
            val loads = (0 until intervals).map { i ->
                val t = i.toDouble() / intervals
                (0 until experts).map { e ->
                    base(kind, t, from[e], to[e], phase[e]) * exp(NOISE * gaussian(random))
                }
            }
            val slow = { i: Int, r: Int ->
                kind == TraceKind.STRAGGLER && r == FAULTY_RANK &&
                    i * THIRDS / intervals == 1
            }
            return LoadTrace(
                name = "$prefix-${kind.label}",
                kind = kind,
                loads = loads,
                speeds = (0 until intervals).map { i -> List(ranks) { r -> if (slow(i, r)) STRAGGLER_SPEED else 1.0 } },
                slowStepShare = if (kind == TraceKind.NOISY) SLOW_STEP_SHARE else 0.0,
            )
        }

        private fun popularity(random: Random, experts: Int): List<Double> =
            (0 until experts).map { (it + POPULARITY_OFFSET).pow(-POPULARITY_POWER) }.shuffled(random)

        private fun base(kind: TraceKind, t: Double, from: Double, to: Double, phase: Double): Double = when (kind) {
            TraceKind.DRIFT -> from * (1 - t) + to * t

            TraceKind.SHIFT -> if (t < HALF) from else to

            TraceKind.FESTIVAL -> {
                val height = max(0.0, 1 - (t - HALF).pow(2) / FESTIVAL_SPREAD)
                if (phase < FESTIVAL_SHARE) from * (1 + FESTIVAL_FACTOR * height) else from
            }

            TraceKind.STEADY -> from * (1 + STEADY_SWING * sin(2 * PI * (t + phase)))

            TraceKind.STRAGGLER, TraceKind.NOISY -> from * (1 + FAULTY_SWING * sin(2 * PI * (t + phase)))
        }

        private fun gaussian(random: Random): Double =
            (1..UNIFORMS_PER_GAUSSIAN).sumOf { random.nextDouble() } - UNIFORMS_PER_GAUSSIAN * HALF
    }
}
