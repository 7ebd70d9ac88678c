/** Simulated engine of one rank: its maps, its step limit and its fencing token. */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.EngineOrder
import org.jujubelead.core.group.ExpertMap
import org.jujubelead.core.group.GroupGeneration
import org.jujubelead.core.group.MapEpoch
import org.jujubelead.core.group.PendingMap
import org.jujubelead.core.group.RankId
import org.jujubelead.core.group.RankState
import org.jujubelead.core.group.ScheduledSwitch
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.Incarnation

/** Start of one step by one rank. */
public data class StepStart(
    val rank: RankId,
    val incarnation: Incarnation,
    val generation: GroupGeneration,
    val step: Long,
    val epoch: MapEpoch,
    val atMicros: Long,
    val waitedForWeights: Boolean = false,
)

/**
 * The engine. It is not thread-safe. Times are microseconds of virtual or real time.
 *
 * @param honoursFences whether an order with a lower fencing token than that of an earlier order is rejected.
 */
public open class RankProcess(
    public val rank: RankId,
    private val incarnation: Incarnation,
    private val weights: WeightStore,
    private val expertBytes: Long,
    private val honoursFences: Boolean,
) {
    private var generation = GroupGeneration.NONE
    private var active: ExpertMap? = null
    private var pending: ExpertMap? = null
    private var pendingReadyMicros = 0L
    private var scheduled: ScheduledSwitch? = null
    private var limit: Long? = null
    private var started = -1L
    private var fence: Fence? = null

    /** The state at [nowMicros]. */
    public fun state(nowMicros: Long): RankState = RankState(
        incarnation = incarnation,
        generation = generation,
        activeEpoch = active?.epoch,
        startedStep = started,
        limit = limit,
        pending = pending?.let { PendingMap(epoch = it.epoch, complete = nowMicros >= pendingReadyMicros) },
        scheduled = scheduled,
    )

    /** Executes an order. Returns the state after it, or null if the order was rejected. */
    public fun order(order: EngineOrder, by: Fence?, nowMicros: Long): RankState? {
        if (order == EngineOrder.Read) return state(nowMicros)
        val lastFence = fence
        val outdated = by != null && lastFence != null && by < lastFence
        if (outdated && honoursFences) return null
        fence = by ?: fence
        return state(nowMicros).takeIf { apply(order, nowMicros) }?.let { state(nowMicros) }
    }

    private fun apply(order: EngineOrder, nowMicros: Long): Boolean {
        when (order) {
            EngineOrder.Read -> Unit

            is EngineOrder.Limit -> limit = order.limit

            is EngineOrder.Load -> load(order.map, nowMicros)

            is EngineOrder.Activate -> {
                if (!state(nowMicros).holds(order.epoch) || order.step <= started) return false
                scheduled = ScheduledSwitch(epoch = order.epoch, step = order.step)
            }

            is EngineOrder.Join -> {
                if (order.generation <= generation) return order.generation == generation
                if (!state(nowMicros).holds(order.epoch)) return false
                if (active?.epoch != order.epoch) active = pending
                generation = order.generation
                started = -1
                clearChange()
            }
        }
        return true
    }

    private fun load(map: ExpertMap, nowMicros: Long) {
        if (pending?.epoch == map.epoch) return
        val r = rank.value
        val held = (active?.placement?.ranks?.get(r).orEmpty() + loadedPending(nowMicros)).toHashSet()
        val missing = map.placement.ranks[r].count { it !in held }
        pending = map
        pendingReadyMicros = weights.transfer(bytes = missing * expertBytes, nowMicros = nowMicros)
    }

    private fun loadedPending(nowMicros: Long) =
        pending?.takeIf { nowMicros >= pendingReadyMicros }?.placement?.ranks?.get(rank.value).orEmpty()

    private fun clearChange() {
        pending = null
        scheduled = null
        limit = null
    }

    /** Whether [limit] allows [step] to start. Tests override it to simulate an engine without a step limit. */
    protected open fun mayStart(step: Long, limit: Long?): Boolean = limit == null || step < limit

    /** Starts [step] in generation [of] if it follows the last started step and the limit allows it; null otherwise. */
    public fun tryStart(step: Long, of: GroupGeneration, nowMicros: Long): StepStart? {
        if (generation != of || started != step - 1 || !mayStart(step, limit)) return null
        started = step
        val switch = scheduled?.takeIf { step >= it.step }
        val waits = switch != null && nowMicros < pendingReadyMicros
        if (switch != null) {
            active = pending
            clearChange()
        }
        return StepStart(
            rank = rank,
            incarnation = incarnation,
            generation = of,
            step = step,
            epoch = checkNotNull(active).epoch,
            atMicros = nowMicros,
            waitedForWeights = waits,
        )
    }

    /** Last step started in generation [of]; null if the rank is in another generation. */
    public fun startedIn(of: GroupGeneration): Long? = started.takeIf { generation == of }

    public fun currentGeneration(): GroupGeneration = generation
}
