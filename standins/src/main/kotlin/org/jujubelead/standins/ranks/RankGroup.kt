/**
 * Ranks in lock-step. A step starts rank by rank, as far as each rank's limit allows, and ends when all ranks have
 * started it and the step time has passed; only then can a rank start the next step.
 */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.GroupGeneration

/** The group. [size] ranks must be in one generation before it can step. */
public class RankGroup(private val size: Int, private val stepMicros: Long) {
    private val ranks = arrayOfNulls<RankProcess>(size)
    private var generation = GroupGeneration.NONE
    private var step = 0L
    private var joined = 0
    private var endsMicros: Long? = null

    /** Steps completed, over all generations. */
    public var completedSteps: Long = 0
        private set

    /** Puts a rank into its place; the rank that was there has stopped. */
    public fun place(rank: RankProcess) {
        ranks[rank.rank.value] = rank
    }

    /** The instant at which [advance] has to be called next; null while the group waits for an order. */
    public val nextMicros: Long? get() = endsMicros

    /** Ends the step that is due, and starts what can be started. Call it after every order to a rank. */
    public fun advance(nowMicros: Long, onStart: (StepStart) -> Unit) {
        val newest = ranks.maxOf { it?.currentGeneration() ?: GroupGeneration.NONE }
        if (newest > generation) {
            generation = newest
            step = 0
            joined = 0
            endsMicros = null
        }
        val ends = endsMicros
        if (ends != null && nowMicros < ends) return
        if (ends != null) {
            completedSteps += 1
            step += 1
            joined = 0
            endsMicros = null
        }
        startRanks(nowMicros, onStart)
    }

    private fun startRanks(nowMicros: Long, onStart: (StepStart) -> Unit) {
        if (generation == GroupGeneration.NONE || ranks.any { it?.startedIn(generation) == null }) return
        for (rank in ranks) {
            val start = rank?.tryStart(step = step, of = generation, nowMicros = nowMicros) ?: continue
            joined += 1
            onStart(start)
        }
        if (joined == size) endsMicros = nowMicros + stepMicros
    }
}
