package org.jujubelead.core.group

import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class MapCoordinatorTest {
    private val placement = ExpertPlacement(listOf(listOf(0), listOf(1)))
    private val committed = ExpertMap(epoch = MapEpoch(1), placement = placement)
    private val proposed = ExpertMap(epoch = MapEpoch(2), placement = placement)
    private val armed = MapPhase.Armed(epoch = MapEpoch(2), switchStep = 50)
    private val decided = MapPhase.Committed(epoch = MapEpoch(2), switchStep = 50)
    private var now = Timestamp.ZERO
    private var state = MapCoordinator.takeOver(
        group = GroupId("g"),
        fence = Fence(2),
        leaseUntil = now + 9.seconds,
        record = GroupRecord(
            generation = GroupGeneration(1),
            members = listOf(InstanceId("i0"), InstanceId("i1")),
            committed = committed,
            proposed = proposed,
        ),
    )

    private fun on(event: CoordinatorEvent): List<MapOrder> {
        val next = state.on(event, now)
        state = next.state
        return next.effects.filterIsInstance<CoordinatorEffect.Send>().map { it.order.order }
    }

    private fun reported(rank: Int, phase: MapPhase, promised: Long = 2) = on(
        CoordinatorEvent.Reported(
            RankReport(
                rank = RankId(rank),
                incarnation = Incarnation("a$rank"),
                generation = GroupGeneration(1),
                promised = Fence(promised),
                phase = phase,
                activeEpoch = MapEpoch(1),
                pendingEpoch = MapEpoch(2).takeIf { phase != MapPhase.Idle },
                step = 20,
            ),
        ),
    )

    /** Guards against an abort while a rank that has not answered may have committed. */
    @Test
    fun `no decision is made while a rank does not answer`() {
        reported(rank = 0, phase = armed)
        expectThat(state.phase).isEqualTo(CoordinatorPhase.Inspecting)
    }

    /** Guards against ranks that stay armed after their coordinator failed before any commit. */
    @Test
    fun `the change is aborted if all ranks answer and none has committed`() {
        reported(rank = 0, phase = armed)
        expectThat(reported(rank = 1, phase = armed)).isEqualTo(List(2) { MapOrder.Abort(MapEpoch(2)) })
    }

    /** Guards against an abort after only some of the ranks received the commit order. */
    @Test
    fun `the change is committed if one rank has committed`() {
        reported(rank = 0, phase = decided)
        expectThat(reported(rank = 1, phase = armed)).isEqualTo(
            listOf(MapOrder.Commit(epoch = MapEpoch(2), switchStep = 50)),
        )
    }

    /** Guards against a paused coordinator that makes decisions after its lease has expired. */
    @Test
    fun `no new decision is made after the lease has expired`() {
        reported(rank = 0, phase = armed)
        now += 8.seconds
        expectThat(reported(rank = 1, phase = armed)).isEmpty()
        expectThat(state.phase).isEqualTo(CoordinatorPhase.Stopped(StopReason.LEASE_ENDED))
    }

    /** Guards against a group with a committed change that stalls during an outage of the key-value service. */
    @Test
    fun `a decision is still repeated after the lease has expired`() {
        reported(rank = 0, phase = decided)
        reported(rank = 1, phase = armed)
        now += 20.seconds
        expectThat(on(CoordinatorEvent.Tick)).isEqualTo(listOf(MapOrder.Commit(epoch = MapEpoch(2), switchStep = 50)))
    }

    /** Guards against two active coordinators. */
    @Test
    fun `a promise of a higher fence stops the coordinator`() {
        reported(rank = 0, phase = MapPhase.Idle, promised = 3)
        expectThat(state.phase).isEqualTo(CoordinatorPhase.Stopped(StopReason.SUPERSEDED))
    }

    /** Guards against a generation that starts before its record is written. */
    @Test
    fun `a replaced rank causes a new record before any order`() {
        reported(rank = 0, phase = MapPhase.Idle)
        val orders = on(CoordinatorEvent.MembersChanged(listOf(InstanceId("i0"), InstanceId("new"))))
        expectThat(orders.filter { it != MapOrder.Inspect }).isEmpty()
        expectThat(state.phase).isA<CoordinatorPhase.Saving>().get { record.generation }.isEqualTo(GroupGeneration(2))
    }
}
