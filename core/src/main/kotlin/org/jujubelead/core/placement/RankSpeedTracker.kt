/**
 * Detects stragglers by the step time of each rank relative to the time expected from its load.
 *
 * A rank becomes a straggler after several consecutive slow steps and recovers only after many consecutive normal
 * steps, so that occasional slow steps cause no moves.
 */
package org.jujubelead.core.placement

/** Consecutive slow steps after which a rank is a straggler. With 15 % slow steps, 6 in a row occur once in 88,000. */
private const val SLOW_STEPS = 6

/** Consecutive normal steps after which a straggler counts as recovered. */
private const val NORMAL_STEPS = 100

/** A step counts as slow when it takes at least this factor of the expected time. */
private const val SLOW_FACTOR = 1.2

/** Capacities are rounded to multiples of 1/10, so that jitter does not change the plan. */
private const val CAPACITY_PARTS = 10.0

/**
 * Speed of one rank.
 *
 * @property slowRun number of consecutive slow steps.
 * @property normalRun number of consecutive normal steps.
 * @property slowdown mean ratio of measured to expected time over the latest run of slow steps.
 */
public data class RankSpeed(
    val slowRun: Int = 0,
    val normalRun: Int = 0,
    val slowdown: Double = 1.0,
    val straggler: Boolean = false,
) {
    /** Relative speed as input for [PlacementPolicy.plan]. */
    public val capacity: Double
        get() = if (straggler) maxOf(1.0, Math.rint(CAPACITY_PARTS / slowdown)) / CAPACITY_PARTS else 1.0

    /** Returns the state after a step with the given [ratio] of measured to expected time. */
    public fun after(ratio: Double): RankSpeed {
        val slow = ratio >= SLOW_FACTOR
        val run = if (slow) slowRun + 1 else 0
        val normal = if (slow) 0 else normalRun + 1
        return copy(
            slowRun = run,
            normalRun = normal,
            slowdown = if (slow) slowdown.takeIf { run > 1 }?.let { it + (ratio - it) / run } ?: ratio else slowdown,
            straggler = run >= SLOW_STEPS || (straggler && normal < NORMAL_STEPS),
        )
    }
}

/** Speeds of all ranks of a group. */
public data class RankSpeedTracker(val ranks: List<RankSpeed>) {
    public val capacities: List<Double> get() = ranks.map { it.capacity }

    /** Returns the state after a step, given each rank's [measured] time and the [expected] time in any unit. */
    public fun after(measured: List<Double>, expected: List<Double>): RankSpeedTracker {
        val ratios = measured.mapIndexed { r, time -> if (expected[r] > 0) time / expected[r] else 1.0 }
        val typical = ratios.sorted()[ratios.size / 2]
        return RankSpeedTracker(ranks.mapIndexed { r, rank -> rank.after(ratios[r] / typical) })
    }
}
