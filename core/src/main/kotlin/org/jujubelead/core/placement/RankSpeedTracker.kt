/**
 * Tells stragglers from noisy ranks by the time each rank takes per step relative to what its load explains.
 *
 * A rank becomes a straggler after a few slow steps in a row and recovers only after many normal ones, so that a rank
 * with single slow steps causes no moves.
 */
package org.jujubelead.core.placement

/** Steps in a row that make a rank a straggler. With 15 % slow steps, a run of 6 comes once in 88,000 steps. */
private const val SLOW_STEPS = 6

/** Normal steps in a row after which a straggler counts as recovered. */
private const val NORMAL_STEPS = 100

/** A step this much slower than the load explains counts as slow. */
private const val SLOW_FACTOR = 1.2

/** Capacities are rounded to this many parts, so that jitter does not change the plan. */
private const val CAPACITY_PARTS = 10.0

/** Record of one rank; [slowdown] is its mean over the present run of slow steps. */
public data class RankSpeed(
    val slowRun: Int = 0,
    val normalRun: Int = 0,
    val slowdown: Double = 1.0,
    val straggler: Boolean = false,
) {
    /** Relative speed for [PlacementPolicy.plan]. */
    public val capacity: Double
        get() = if (straggler) maxOf(1.0, Math.rint(CAPACITY_PARTS / slowdown)) / CAPACITY_PARTS else 1.0

    /** Takes the rank's time over its expected time in one step. */
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

    /** Takes the [measured] time of each rank in one step, and the times that loads explain, in any unit. */
    public fun after(measured: List<Double>, expected: List<Double>): RankSpeedTracker {
        val ratios = measured.mapIndexed { r, time -> if (expected[r] > 0) time / expected[r] else 1.0 }
        val typical = ratios.sorted()[ratios.size / 2]
        return RankSpeedTracker(ranks.mapIndexed { r, rank -> rank.after(ratios[r] / typical) })
    }
}
