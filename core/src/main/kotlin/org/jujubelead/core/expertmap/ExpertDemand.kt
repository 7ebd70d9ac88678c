/**
 * How often the experts of each set were chosen of late.
 *
 * Choices of the last half second are kept apart from earlier ones, which fade. The earlier ones tell shares apart
 * that the topics of a few requests blur in the recent ones. Where the two differ by more than topics explain, demand
 * has shifted, and what was before is forgotten: a map for a mixture of old and new demand serves neither. Mutable;
 * owned by the control thread.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.math.abs
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** @param decayTime time after which a choice counts a third. */
public class ExpertDemand(private val sets: Int, private val experts: Int, private val decayTime: Duration) {
    private fun counts() = Array(sets) { DoubleArray(experts) }

    /** Choices of the present span of time and of the one before it. */
    private var current = counts()
    private var previous = counts()

    /** Earlier choices, which fade. */
    private val earlier = counts()
    private var windowEnd: Timestamp? = null

    /** Adds counts of some sets from [firstSet] on, in the order of sets and experts. */
    public fun recordChoices(firstSet: Int, counts: List<Int>, now: Timestamp) {
        rotate(now)
        for ((i, n) in counts.withIndex()) {
            val set = firstSet + i / experts
            if (n > 0 && set < sets) current[set][i % experts] += n.toDouble()
        }
    }

    /** Choices in [set] that count. */
    public fun choices(set: Int): Double = earlier[set].sum() + previous[set].sum() + current[set].sum()

    /** Part of the choices of [set] that each expert has: sets are sampled unevenly. */
    public fun shares(set: Int): List<Double> {
        val sum = choices(set)
        if (sum <= 0) return List(experts) { 0.0 }
        return List(experts) { (earlier[set][it] + previous[set][it] + current[set][it]) / sum }
    }

    /** Part of the recent choices of [set] that fall on other experts than earlier ones; 0 to 1. */
    public fun drift(set: Int): Double {
        val before = earlier[set].sum()
        val recent = previous[set].sum() + current[set].sum()
        if (recent < MIN_CHOICES || before < MIN_CHOICES) return 0.0
        return (0 until experts).sumOf {
            abs((previous[set][it] + current[set][it]) / recent - earlier[set][it] / before)
        } / 2
    }

    /** Forgets what was before a shift of demand, set by set. */
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

    /** Adds [counts] to the earlier ones, less what has faded since. */
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
        /** Two spans hold about one status of each rank of a large group. */
        val WINDOW: Duration = 250.milliseconds

        /** Topics of the requests of half a second move up to a tenth of the choices; a shift a sixth and more. */
        const val SHIFT_THRESHOLD = 0.14

        /** With fewer recent choices in a set their shares are chance. */
        const val MIN_CHOICES = 4_000.0
    }
}
