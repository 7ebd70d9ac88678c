/**
 * Simulation of ranks that execute steps in lock-step. Each rank starts a step if its limit allows. The step ends when
 * all ranks have started it and the step time has passed; only then can a rank start the next step.
 */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.GroupGeneration

/** The group. All [size] ranks must be in the same generation before a step can start. */
public class RankGroup(private val size: Int, private val stepMicros: Long) {
    private val ranks = arrayOfNulls<RankProcess>(size)
    private var generation = GroupGeneration.NONE
    private var step = 0L
    private var startedRanks = 0
    private var endsMicros: Long? = null

    /** Number of completed steps in all generations. */
    public var completedSteps: Long = 0
        private set

    /** Adds a rank and replaces the earlier process of the same rank. */
    public fun place(rank: RankProcess) {
        ranks[rank.rank.value] = rank
    }

    /** Time at which [advance] has to be called next; null while the group waits for an order. */
    public val nextMicros: Long? get() = endsMicros

    /** Ends a step that is due and starts all ranks that can start. Must be called after every order to a rank. */
    public fun advance(nowMicros: Long, onStart: (StepStart) -> Unit) {
        val newest = ranks.maxOf { it?.currentGeneration() ?: GroupGeneration.NONE }
        if (newest > generation) {
            generation = newest
            step = 0
            startedRanks = 0
            endsMicros = null
        }
        val ends = endsMicros
        if (ends != null && nowMicros < ends) return
        if (ends != null) {
            completedSteps += 1
            step += 1
            startedRanks = 0
            endsMicros = null
        }
        startRanks(nowMicros, onStart)
    }

    private fun startRanks(nowMicros: Long, onStart: (StepStart) -> Unit) {
        if (generation == GroupGeneration.NONE || ranks.any { it?.startedIn(generation) == null }) return
        for (rank in ranks) {
            val start = rank?.tryStart(step = step, of = generation, nowMicros = nowMicros) ?: continue
            startedRanks += 1
            onStart(start)
        }
        if (startedRanks == size) endsMicros = nowMicros + stepMicros
    }
}
