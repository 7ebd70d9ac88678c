/** Records the steps of a rank group and checks that all ranks used the same expert map in each step (guarantee P1). */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.GroupGeneration
import org.jujubelead.core.group.MapEpoch

/** A violation found in a history. */
public sealed interface StepViolation {
    /** Two ranks started the same step with different maps. */
    public data class MixedMaps(val first: StepStart, val second: StepStart) : StepViolation

    /** A rank had to wait for weights during a step. */
    public data class WaitedForWeights(val start: StepStart) : StepViolation

    /** A rank started a step twice, or out of order. */
    public data class OutOfOrder(val before: StepStart, val after: StepStart) : StepViolation
}

/** Checks the starts of steps in chronological order and collects the violations. */
public class StepHistory {
    private val firstOf = HashMap<Pair<GroupGeneration, Long>, StepStart>()
    private val lastOf = HashMap<Pair<Int, String>, StepStart>()
    private val found = ArrayList<StepViolation>()

    /** Violations found so far. */
    public val violations: List<StepViolation> get() = found

    /** Epoch of the most recently started step. */
    public var lastEpoch: MapEpoch? = null
        private set

    /** Maximum time between the starts of two steps since [resetStall], in microseconds. */
    public var maxStallMicros: Long = 0
        private set
    private var lastStepMicros = 0L

    /** Adds the start of a step by a rank. */
    public fun add(start: StepStart) {
        lastEpoch = start.epoch
        val first = firstOf.getOrPut(start.generation to start.step) {
            maxStallMicros = maxOf(maxStallMicros, start.atMicros - lastStepMicros)
            lastStepMicros = start.atMicros
            start
        }
        if (first.epoch != start.epoch) found += StepViolation.MixedMaps(first = first, second = start)
        if (start.waitedForWeights) found += StepViolation.WaitedForWeights(start)
        val before = lastOf.put(start.rank.value to start.incarnation.value, start) ?: return
        val ordered = start.generation > before.generation ||
            (start.generation == before.generation && start.step == before.step + 1)
        if (!ordered) found += StepViolation.OutOfOrder(before = before, after = start)
    }

    /** Resets [maxStallMicros]. */
    public fun resetStall(nowMicros: Long) {
        maxStallMicros = 0
        lastStepMicros = nowMicros
    }
}
