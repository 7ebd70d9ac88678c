/**
 * Measures how often the experts of each set were chosen recently.
 *
 * Choices of the last half second are counted separately from earlier ones, which decay exponentially. The recent
 * counts alone depend on the topics of a few requests; the earlier ones smooth that out. If the two differ by more than
 * topics can explain, the demand has shifted and the earlier choices are discarded, because a map for a mixture of old
 * and new demand fits neither. Not thread-safe; used on the control thread only.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.math.abs
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** @param decayTime time constant of the exponential decay: after it, a choice counts for 1/e, about a third. */
public class ExpertDemand(private val sets: Int, private val experts: Int, private val decayTime: Duration) {
    private fun counts() = Array(sets) { DoubleArray(experts) }

    /** Choices of the current window and of the previous one. */
    private var current = counts()
    private var previous = counts()

    /** Choices before those windows, with decay. */
    private val earlier = counts()
    private var windowEnd: Timestamp? = null

    /** Adds [counts] of consecutive sets starting with [firstSet], ordered by set and then by expert. */
    public fun recordChoices(firstSet: Int, counts: List<Int>, now: Timestamp) {
        rotate(now)
        for ((i, n) in counts.withIndex()) {
            val set = firstSet + i / experts
            if (n > 0 && set < sets) current[set][i % experts] += n.toDouble()
        }
    }

    /** Total number of choices in [set], after decay. */
    public fun choices(set: Int): Double = earlier[set].sum() + previous[set].sum() + current[set].sum()

    /** Fraction of the choices of [set] per expert. Relative values are needed because sets are sampled unevenly. */
    public fun shares(set: Int): List<Double> {
        val sum = choices(set)
        if (sum <= 0) return List(experts) { 0.0 }
        return List(experts) { (earlier[set][it] + previous[set][it] + current[set][it]) / sum }
    }

    /** Fraction of the recent choices of [set] that fall on other experts than the earlier ones did, from 0 to 1. */
    public fun drift(set: Int): Double {
        val before = earlier[set].sum()
        val recent = previous[set].sum() + current[set].sum()
        if (recent < MIN_CHOICES || before < MIN_CHOICES) return 0.0
        return (0 until experts).sumOf {
            abs((previous[set][it] + current[set][it]) / recent - earlier[set][it] / before)
        } / 2
    }

    /** Discards the earlier choices of each set whose demand has shifted. */
    public fun discardBeforeShift() {
        for (set in 0 until sets) if (drift(set) > SHIFT_THRESHOLD) earlier[set].fill(0.0)
    }

    private fun rotate(now: Timestamp) {
        val end = windowEnd ?: now + WINDOW
        windowEnd = end
        if (now < end) return
        fade(earlier, since = now - end + WINDOW)
        fade(previous, since = now - end + WINDOW)
        previous = current
        current = counts()
        if (now - end >= WINDOW) fade(previous, since = now - end)
        windowEnd = now + WINDOW
    }

    /** Moves [counts] to the earlier choices, decayed by the time [since]. */
    private fun fade(counts: Array<DoubleArray>, since: Duration) {
        val kept = exp(-since.toDouble(DurationUnit.SECONDS) / decayTime.toDouble(DurationUnit.SECONDS))
        for (set in 0 until sets) {
            for (e in 0 until experts) {
                val faded = counts[set][e] * kept
                counts[set][e] = 0.0
                earlier[set][e] += faded
            }
        }
    }

    private companion object {
        /** Two windows cover about one status report of each rank of a large group. */
        val WINDOW: Duration = 250.milliseconds

        /** Request topics of half a second change up to a tenth of the choices; a shift changes at least a sixth. */
        const val SHIFT_THRESHOLD = 0.14

        /** With fewer choices in a set, their distribution is mostly random. */
        const val MIN_CHOICES = 4_000.0
    }
}
