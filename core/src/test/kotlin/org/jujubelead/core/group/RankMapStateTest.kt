package org.jujubelead.core.group

import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RankMapStateTest {
    private val map = ExpertMap(epoch = MapEpoch(2), placement = ExpertPlacement(listOf(listOf(0))))
    private val prepared = RankState(
        incarnation = Incarnation("e1"),
        generation = GroupGeneration(1),
        activeEpoch = MapEpoch(1),
        startedStep = 10,
        pending = PendingMap(epoch = map.epoch, complete = true),
    )
    private val combined = Incarnation("a1/e1")
    private var now = Timestamp.ZERO
    private var state = RankMapState.start(rank = RankId(0), incarnation = Incarnation("a1"), now = now)

    private fun on(event: RankEvent): RankTransition = state.on(event, now).also { state = it.state }

    private fun order(order: MapOrder, fence: Long = 1, incarnation: Incarnation = combined) = on(
        RankEvent.Ordered(
            RankOrder(
                group = GroupId("g"),
                generation = GroupGeneration(1),
                fence = Fence(fence),
                incarnation = incarnation,
                order = order,
            ),
        ),
    )

    private fun tickAfter(time: Duration): EngineCallEffect? {
        now += time
        return on(RankEvent.Tick).call
    }

    /** Starts the agent of a rank whose state is [rank]. */
    private fun startAgent(rank: RankState) {
        val read = checkNotNull(tickAfter(5.seconds))
        on(RankEvent.Answered(id = read.id, state = rank))
        order(MapOrder.Inspect)
    }

    /** Guards against reading the rank while an order of the predecessor can still take effect. */
    @Test
    fun `a new agent waits until its predecessor's orders can no longer take effect`() {
        expectThat(tickAfter(4_999.milliseconds)).isNull()
        expectThat(order(MapOrder.Inspect).report?.refusal).isEqualTo(MapRefusal.RECOVERING)
        expectThat(tickAfter(1.milliseconds)?.order).isEqualTo(EngineOrder.Read)
    }

    /** Guards against a restarted agent that removes the step limit of an undecided change. */
    @Test
    fun `an agent that restarts while armed is still armed`() {
        startAgent(prepared.copy(limit = 50))
        expectThat(state.phase).isEqualTo(MapPhase.Armed(epoch = map.epoch, switchStep = 50))
        expectThat(tickAfter(10.milliseconds)).isNull()
    }

    /** Guards against a commit by an old coordinator after the agent promised the fence of its successor. */
    @Test
    fun `lower fences and earlier incarnations are refused`() {
        startAgent(prepared.copy(limit = 50))
        order(MapOrder.Inspect, fence = 3)
        val commit = MapOrder.Commit(epoch = map.epoch, switchStep = 50)
        expectThat(order(commit, fence = 1).report?.refusal).isEqualTo(MapRefusal.OLD_FENCE)
        expectThat(order(commit, fence = 4).report?.refusal).isEqualTo(MapRefusal.NOT_INSPECTED)
        expectThat(order(commit, fence = 3, incarnation = Incarnation("a0/e1")).report?.refusal)
            .isEqualTo(MapRefusal.WRONG_INCARNATION)
        expectThat(state.phase).isEqualTo(MapPhase.Armed(epoch = map.epoch, switchStep = 50))
    }

    /** Guards against a delayed step limit that takes effect after the order that removes it. */
    @Test
    fun `the next order is sent only after the lifetime of an unanswered order`() {
        startAgent(prepared)
        order(MapOrder.Prepare(map))
        val arm = order(MapOrder.Arm(epoch = map.epoch, switchStep = 50))
        expectThat(arm.call?.order).isEqualTo(EngineOrder.Limit(50))
        expectThat(order(MapOrder.Abort(map.epoch)).call).isNull()
        expectThat(tickAfter(4.seconds)).isNull()
        val read = checkNotNull(tickAfter(1.seconds))
        val answered = on(RankEvent.Answered(id = read.id, state = prepared.copy(limit = 50)))
        expectThat(answered.call?.order).isEqualTo(EngineOrder.Limit(null))
    }

    /**
     * Guards against reporting a rank as armed although it has started the switch step, and against refusing an Inspect
     * in that state, which would keep a successor from learning that the change can be aborted.
     */
    @Test
    fun `a rank that has started the switch step refuses arm and commit`() {
        startAgent(prepared)
        order(MapOrder.Prepare(map))
        val call = checkNotNull(order(MapOrder.Arm(epoch = map.epoch, switchStep = 12)).call)
        on(RankEvent.Answered(id = call.id, state = prepared.copy(limit = 12, startedStep = 12)))
        expectThat(order(MapOrder.Arm(epoch = map.epoch, switchStep = 12)).report?.refusal)
            .isEqualTo(MapRefusal.STEP_PASSED)
        expectThat(order(MapOrder.Commit(epoch = map.epoch, switchStep = 12)).report?.refusal)
            .isEqualTo(MapRefusal.NOT_ARMED)
        expectThat(order(MapOrder.Inspect, fence = 2).report?.refusal).isNull()
    }

    /** Guards against a delayed prepare order after which a rank can stay armed although no coordinator decides. */
    @Test
    fun `an aborted epoch is not prepared again`() {
        startAgent(prepared)
        order(MapOrder.Prepare(map))
        order(MapOrder.Abort(map.epoch))
        expectThat(order(MapOrder.Prepare(map)).report?.refusal).isEqualTo(MapRefusal.EPOCH_ENDED)
    }
}
