/**
 * Agent side of the two-phase change of an expert map.
 *
 * The agent stores what was last ordered (the goal) and the last state that its rank reported, and sends the rank one
 * order at a time until the two agree. An order without an answer may still take effect, so no other order is sent
 * until its lifetime has passed; a restarted agent waits for the same time because of orders of its predecessor. This
 * is necessary even for engines that reject old fencing tokens, since two orders of one coordinator carry the same
 * token.
 */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Step limit that prevents a rank from starting any step of a generation that it is about to leave. */
private const val LEAVING_STEP_LIMIT = 0L

/** Timeouts and polling intervals of the agent's calls to its rank. */
public data class RankCallTimeouts(
    /** An order takes effect within this time or not at all. */
    val orderLifetime: Duration = 5.seconds,
    /** Time after which a read without an answer is repeated. */
    val readTimeout: Duration = 500.milliseconds,
    /** Interval of reads during a change. */
    val activePollInterval: Duration = 100.milliseconds,
    /** Interval of reads while no change is in progress. */
    val idlePollInterval: Duration = 500.milliseconds,
)

/** The state that the last order of the coordinator asks for. */
internal sealed interface Goal {
    data object Unknown : Goal

    /** No change is ordered. */
    data object Rest : Goal

    /** The rank has left its generation and waits for the next generation. */
    data object Left : Goal

    data class Prepare(val map: ExpertMap, val generation: GroupGeneration) : Goal

    data class Arm(val epoch: MapEpoch, val switchStep: Long) : Goal

    data class Switch(val epoch: MapEpoch, val switchStep: Long) : Goal

    data class Join(val generation: GroupGeneration, val epoch: MapEpoch) : Goal
}

internal data class EngineCall(val id: Long, val order: EngineOrder, val expires: Timestamp)

/** Input of [RankMapState]. */
public sealed interface RankEvent {
    public data class Ordered(val order: RankOrder) : RankEvent

    /** The rank answered call [id]. [state] is null if it refused the order. */
    public data class Answered(val id: Long, val state: RankState?) : RankEvent

    /** Timer event, sent at least every [RankCallTimeouts.activePollInterval]. */
    public data object Tick : RankEvent
}

/** A call to the rank's engine under the promised fence. */
public data class EngineCallEffect(val id: Long, val order: EngineOrder, val fence: Fence?)

/** New state, the report that answers an order, and the next call to the rank. */
public data class RankTransition(
    val state: RankMapState,
    val report: RankReport? = null,
    val call: EngineCallEffect? = null,
)

/** Immutable state of one agent. Created by [start]; [on] processes events. */
public class RankMapState internal constructor(
    private val rank: RankId,
    private val incarnation: Incarnation,
    private val times: RankCallTimeouts,
    private val callsAllowedAt: Timestamp,
    private val goal: Goal = Goal.Unknown,
    private val engine: RankState? = null,
    private val promised: Fence? = null,
    private val endedEpoch: MapEpoch? = null,
    private val call: EngineCall? = null,
    private val nextCallId: Long = 0,
    private val nextReadAt: Timestamp = callsAllowedAt,
) {
    private fun copy(
        goal: Goal = this.goal,
        engine: RankState? = this.engine,
        promised: Fence? = this.promised,
        endedEpoch: MapEpoch? = this.endedEpoch,
        call: EngineCall? = this.call,
        nextCallId: Long = this.nextCallId,
        nextReadAt: Timestamp = this.nextReadAt,
    ) = RankMapState(
        rank, incarnation, times, callsAllowedAt, goal, engine, promised, endedEpoch, call, nextCallId, nextReadAt,
    )

    /** Processes one event that occurred at [now]. */
    public fun on(event: RankEvent, now: Timestamp): RankTransition = when (event) {
        is RankEvent.Ordered -> {
            val (state, refusal) = handleOrder(event.order)
            state.callNext(now).copy(report = state.report(refusal))
        }

        is RankEvent.Answered -> (if (event.id == call?.id) answered(event.state, now) else this).callNext(now)

        RankEvent.Tick -> expireCall(now).callNext(now)
    }

    /** Phase of the rank, as confirmed by its engine. */
    public val phase: MapPhase
        get() = when (goal) {
            Goal.Unknown, Goal.Rest, Goal.Left, is Goal.Join -> MapPhase.Idle

            is Goal.Prepare -> if (preparedFor(goal)) MapPhase.Prepared(goal.map.epoch) else MapPhase.Idle

            is Goal.Arm -> if (limitConfirmed(goal)) {
                MapPhase.Armed(epoch = goal.epoch, switchStep = goal.switchStep)
            } else {
                MapPhase.Prepared(goal.epoch)
            }

            is Goal.Switch -> MapPhase.Committed(epoch = goal.epoch, switchStep = goal.switchStep)
        }

    private fun limitConfirmed(goal: Goal.Arm) =
        engine?.limit == goal.switchStep && engine.startedStep < goal.switchStep && engine.holds(goal.epoch)

    private fun preparedFor(goal: Goal.Prepare) =
        engine != null && engine.holds(goal.map.epoch) &&
            (!requiresLeaving(goal.generation) || engine.limit == LEAVING_STEP_LIMIT)

    /** True if joining [generation] requires the rank to leave a generation in which it may still execute steps. */
    private fun requiresLeaving(generation: GroupGeneration) =
        engine != null && engine.generation != GroupGeneration.NONE && generation > engine.generation

    private fun hasLeftGeneration() = goal is Goal.Left || (goal is Goal.Prepare && requiresLeaving(goal.generation))

    /** Identifies the agent and its engine, because a restart of either loses state that an earlier order relied on. */
    private val combinedIncarnation: Incarnation
        get() = engine?.let { Incarnation("${incarnation.value}/${it.incarnation.value}") } ?: incarnation

    private fun report(refusal: MapRefusal?) = RankReport(
        rank = rank,
        incarnation = combinedIncarnation,
        generation = if (engine == null || hasLeftGeneration()) GroupGeneration.NONE else engine.generation,
        promised = promised,
        phase = phase,
        activeEpoch = engine?.activeEpoch,
        pendingEpoch = when (goal) {
            is Goal.Prepare -> goal.map.epoch
            is Goal.Arm -> goal.epoch
            is Goal.Switch -> goal.epoch
            is Goal.Join -> goal.epoch
            else -> null
        },
        step = engine?.startedStep ?: -1,
        refusal = refusal,
    )

    private fun hasPassedSwitchStep() = goal is Goal.Arm && engine != null && engine.startedStep >= goal.switchStep

    private fun handleOrder(order: RankOrder): Pair<RankMapState, MapRefusal?> = when {
        engine == null || goal == Goal.Unknown -> this to MapRefusal.RECOVERING
        promised != null && order.fence < promised -> this to MapRefusal.OLD_FENCE
        order.order == MapOrder.Inspect -> copy(promised = order.fence) to null
        order.incarnation != combinedIncarnation -> this to MapRefusal.WRONG_INCARNATION
        order.fence != promised -> this to MapRefusal.NOT_INSPECTED
        order.generation < engine.generation -> this to MapRefusal.OLD_GENERATION
        order.generation > engine.generation -> otherGeneration(order.order, order.generation)
        goal is Goal.Left || goal is Goal.Join -> this to MapRefusal.OLD_GENERATION
        goal is Goal.Prepare && goal.generation > order.generation -> this to MapRefusal.OLD_GENERATION
        else -> sameGeneration(order.order, engine)
    }

    private fun otherGeneration(order: MapOrder, generation: GroupGeneration): Pair<RankMapState, MapRefusal?> = when {
        goal is Goal.Join && goal.generation >= generation -> this to null

        goal is Goal.Prepare && goal.generation > generation -> this to MapRefusal.OLD_GENERATION

        order is MapOrder.Prepare -> copy(goal = Goal.Prepare(map = order.map, generation = generation)) to null

        order is MapOrder.Commit && goal is Goal.Prepare && goal.generation == generation &&
            goal.map.epoch == order.epoch && preparedFor(goal) ->
            copy(goal = Goal.Join(generation = generation, epoch = order.epoch)) to null

        else -> this to MapRefusal.NOT_PREPARED
    }

    private fun sameGeneration(order: MapOrder, engine: RankState): Pair<RankMapState, MapRefusal?> = when (order) {
        is MapOrder.Prepare -> prepare(order.map, engine)
        is MapOrder.Arm -> arm(order, engine)
        is MapOrder.Commit -> commit(order, engine)
        is MapOrder.Abort -> abort(order.epoch, engine)
        MapOrder.Inspect -> this to null
    }

    private fun prepare(map: ExpertMap, engine: RankState): Pair<RankMapState, MapRefusal?> = when {
        engine.activeEpoch == map.epoch -> this to null
        endedEpoch != null && map.epoch <= endedEpoch -> this to MapRefusal.EPOCH_ENDED
        goal is Goal.Arm && goal.epoch == map.epoch -> this to null
        goal is Goal.Switch && goal.epoch == map.epoch -> this to null
        goal is Goal.Arm || goal is Goal.Switch -> this to MapRefusal.BUSY
        else -> copy(goal = Goal.Prepare(map = map, generation = engine.generation)) to null
    }

    private fun arm(order: MapOrder.Arm, engine: RankState): Pair<RankMapState, MapRefusal?> = when {
        goal is Goal.Arm && goal.epoch == order.epoch && goal.switchStep == order.switchStep ->
            this to MapRefusal.STEP_PASSED.takeIf { hasPassedSwitchStep() }

        goal is Goal.Switch && goal.epoch == order.epoch -> this to null

        goal !is Goal.Prepare || goal.map.epoch != order.epoch || !preparedFor(goal) -> this to MapRefusal.NOT_PREPARED

        engine.startedStep >= order.switchStep -> this to MapRefusal.STEP_PASSED

        else -> copy(goal = Goal.Arm(epoch = order.epoch, switchStep = order.switchStep)) to null
    }

    private fun commit(order: MapOrder.Commit, engine: RankState): Pair<RankMapState, MapRefusal?> = when {
        engine.activeEpoch == order.epoch -> this to null

        goal is Goal.Switch && goal.epoch == order.epoch -> this to null

        phase == MapPhase.Armed(epoch = order.epoch, switchStep = order.switchStep) ->
            copy(goal = Goal.Switch(epoch = order.epoch, switchStep = order.switchStep)) to null

        else -> this to MapRefusal.NOT_ARMED
    }

    private fun abort(epoch: MapEpoch, engine: RankState): Pair<RankMapState, MapRefusal?> = when {
        engine.activeEpoch == epoch || (goal is Goal.Switch && goal.epoch == epoch) ->
            this to MapRefusal.ALREADY_COMMITTED

        else -> {
            val ends = (goal is Goal.Prepare && goal.map.epoch <= epoch) || (goal is Goal.Arm && goal.epoch <= epoch)
            copy(goal = if (ends) Goal.Rest else goal, endedEpoch = maxOf(epoch, endedEpoch ?: epoch)) to null
        }
    }

    private fun answered(state: RankState?, now: Timestamp): RankMapState {
        val idle = copy(call = null)
        if (state == null) return idle.copy(nextReadAt = now)
        val known = engine != null && engine.incarnation == state.incarnation && goal != Goal.Unknown
        val next = idle.copy(engine = state, nextReadAt = now + pollInterval())
        return if (known) next.copy(goal = goalAfter(state)) else next.recoveredFrom(state)
    }

    /** Returns the goal that applies once the rank has reported [state]: idle if the current goal is reached. */
    private fun goalAfter(state: RankState): Goal = when {
        goal is Goal.Switch && state.activeEpoch == goal.epoch && state.limit == null -> Goal.Rest
        goal is Goal.Join && state.generation == goal.generation -> Goal.Rest
        else -> goal
    }

    /** Derives the goal from the rank's own state after a restart of the agent or the engine. */
    private fun recoveredFrom(state: RankState) = copy(
        promised = null,
        endedEpoch = null,
        goal = when {
            state.generation == GroupGeneration.NONE -> Goal.Rest

            state.limit == LEAVING_STEP_LIMIT -> Goal.Left

            state.scheduled != null -> Goal.Switch(epoch = state.scheduled.epoch, switchStep = state.scheduled.step)

            state.limit != null && state.pending?.complete == true && state.startedStep < state.limit ->
                Goal.Arm(epoch = state.pending.epoch, switchStep = state.limit)

            else -> Goal.Rest
        },
    )

    private fun pollInterval() = if (goal == Goal.Rest) times.idlePollInterval else times.activePollInterval

    /** Ends a call whose lifetime has passed without an answer; its effect is then read from the rank. */
    private fun expireCall(now: Timestamp): RankMapState =
        if (call != null && now >= call.expires) copy(call = null, nextReadAt = now) else this

    private fun callNext(now: Timestamp): RankTransition {
        if (call != null || now < callsAllowedAt) return RankTransition(this)
        val order = if (engine == null || now >= nextReadAt) EngineOrder.Read else nextOrder(engine)
        if (order == null) return RankTransition(this)
        val lifetime = if (order == EngineOrder.Read) times.readTimeout else times.orderLifetime
        val next = copy(
            call = EngineCall(id = nextCallId, order = order, expires = now + lifetime),
            nextCallId = nextCallId + 1,
        )
        return RankTransition(state = next, call = EngineCallEffect(id = nextCallId, order = order, fence = promised))
    }

    private fun nextOrder(engine: RankState): EngineOrder? = when (goal) {
        Goal.Unknown, Goal.Left -> null

        Goal.Rest -> EngineOrder.Limit(null).takeIf { engine.limit != null }

        is Goal.Prepare -> when {
            requiresLeaving(
                goal.generation,
            ) && engine.limit != LEAVING_STEP_LIMIT -> EngineOrder.Limit(LEAVING_STEP_LIMIT)

            goal.generation == engine.generation && engine.limit != null -> EngineOrder.Limit(null)

            engine.holds(goal.map.epoch) || engine.pending?.epoch == goal.map.epoch -> null

            else -> EngineOrder.Load(goal.map)
        }

        is Goal.Arm -> EngineOrder.Limit(goal.switchStep)
            .takeIf { engine.limit != goal.switchStep && !hasPassedSwitchStep() }

        is Goal.Switch -> when {
            engine.activeEpoch != goal.epoch && engine.scheduled?.epoch != goal.epoch ->
                EngineOrder.Activate(epoch = goal.epoch, step = goal.switchStep)

            else -> EngineOrder.Limit(null).takeIf { engine.limit != null }
        }

        is Goal.Join -> EngineOrder.Join(generation = goal.generation, epoch = goal.epoch)
            .takeIf { engine.generation != goal.generation }
    }

    public companion object {
        /** Creates the state of an agent that starts at [now]. Orders of its predecessor may still reach the rank. */
        public fun start(
            rank: RankId,
            incarnation: Incarnation,
            now: Timestamp,
            times: RankCallTimeouts = RankCallTimeouts(),
        ): RankMapState = RankMapState(rank, incarnation, times, callsAllowedAt = now + times.orderLifetime)
    }
}
