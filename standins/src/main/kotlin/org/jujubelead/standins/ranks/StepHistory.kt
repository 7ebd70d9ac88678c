/** Recorded steps of a rank group, and the check that every step used one expert map (P1). */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.GroupGeneration
import org.jujubelead.core.group.MapEpoch

/** A fault found in a history. */
public sealed interface StepFault {
    /** Two ranks started the same step with different maps. */
    public data class MixedMaps(val first: StepStart, val second: StepStart) : StepFault

    /** A rank had to wait for weights inside a step. */
    public data class WaitedForWeights(val start: StepStart) : StepFault

    /** A rank started a step twice, or out of order. */
    public data class OutOfOrder(val before: StepStart, val after: StepStart) : StepFault
}

/** Checks the starts in the order they happened and remembers the faults. */
public class StepHistory {
    private val firstOf = HashMap<Pair<GroupGeneration, Long>, StepStart>()
    private val lastOf = HashMap<Pair<Int, String>, StepStart>()
    private val found = ArrayList<StepFault>()

    /** Faults found so far. */
    public val faults: List<StepFault> get() = found

    /** Epoch of the step started last. */
    public var lastEpoch: MapEpoch? = null
        private set

    /** Longest time between the starts of two steps since [resetStall], in microseconds. */
    public var longestStallMicros: Long = 0
        private set
    private var lastStepMicros = 0L

    /** Adds the start of one step by one rank. */
    public fun add(start: StepStart) {
        lastEpoch = start.epoch
        val first = firstOf.getOrPut(start.generation to start.step) {
            longestStallMicros = maxOf(longestStallMicros, start.atMicros - lastStepMicros)
            lastStepMicros = start.atMicros
            start
        }
        if (first.epoch != start.epoch) found += StepFault.MixedMaps(first = first, second = start)
        if (start.waitedForWeights) found += StepFault.WaitedForWeights(start)
        val before = lastOf.put(start.rank.value to start.incarnation.value, start) ?: return
        val ordered = start.generation > before.generation ||
            (start.generation == before.generation && start.step == before.step + 1)
        if (!ordered) found += StepFault.OutOfOrder(before = before, after = start)
    }

    /** Forgets the stalls so far. */
    public fun resetStall(nowMicros: Long) {
        longestStallMicros = 0
        lastStepMicros = nowMicros
    }
}
