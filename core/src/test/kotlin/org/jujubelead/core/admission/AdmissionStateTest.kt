package org.jujubelead.core.admission

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.membership.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class AdmissionStateTest {
    private val one = WorkspaceId("one")
    private val two = WorkspaceId("two")
    private val policy = AdmissionPolicy(reserve = 0.0)
    private val state = AdmissionState(2) { WorkspaceLimits() }

    @Test
    fun `the next request is from the workspace with the fewest in progress`() {
        state.started(one)
        state.queued(one)
        state.queued(two)
        expectThat(state.next(policy, seconds(1))).isEqualTo(two)
        state.dequeued(two)
        state.started(two)
        expectThat(state.next(policy, seconds(1))).isNull()
        state.finished(two, seconds(1))
        expectThat(state.next(policy, seconds(1))).isEqualTo(one)
    }

    /** Guards against leaking memory and active weight of idle workspaces. */
    @Test
    fun `an idle workspace leaves no state`() {
        state.started(one)
        state.queued(one)
        state.dequeued(one)
        state.finished(one, seconds(1))
        state.finished(one, seconds(1))
        expectThat(state.activeWeight).isEqualTo(0.0)
        expectThat(state.inProgress).isEqualTo(0)
        expectThat(state.waiting).isEqualTo(0)
    }

    @Test
    fun `the service rate is the rate of completions`() {
        expectThat(state.serviceRate(seconds(0))).isNull()
        repeat(200) { i ->
            state.started(one)
            state.finished(one, seconds(i * 0.1))
        }
        expectThat(state.serviceRate(seconds(20))).isNotNull().isGreaterThan(9.0).isLessThan(11.0)
    }
}
