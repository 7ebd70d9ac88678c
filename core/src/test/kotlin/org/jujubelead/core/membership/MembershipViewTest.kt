package org.jujubelead.core.membership

import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue

class MembershipViewTest {
    private fun view(size: Int, policy: MembershipPolicy = MembershipPolicy()) =
        MembershipView(policy).update(MembershipEvent.ListRead(List(size) { record(it) }, seconds(0)), seconds(0))

    private fun MembershipView.names(at: Int = 0) = candidates(chat, seconds(at)).map { it.key.instance.value }

    private fun MembershipView.after(event: MembershipEvent, at: Int) = update(event, seconds(at))

    private fun MembershipView.dueKeys(at: Int) = probesDue(seconds(at)).map { it.key }

    /** Guards against requests to instances that the platform is about to remove. */
    @Test
    fun `a leaving target is not a candidate`() {
        val records = listOf(record(0), record(1, InstanceState.LEAVING))
        val view = MembershipView().after(MembershipEvent.ListRead(records, seconds(0)), 0)
        expectThat(view.names()).containsExactly("t0")
    }

    /** Guards against an older copy of the list making a leaving target a candidate again. */
    @Test
    fun `a leaving target that is listed as live again returns only after the retention`() {
        val leaving = MembershipEvent.ListRead(listOf(record(0), record(1, InstanceState.LEAVING)), seconds(0))
        val live = listOf(record(0), record(1))
        val view = MembershipView().after(leaving, 0).after(MembershipEvent.ListRead(live, seconds(1)), 1)
        expectThat(view.names()).containsExactly("t0")
        expectThat(view.after(MembershipEvent.ListRead(live, seconds(40)), 40).names()).containsExactly("t0", "t1")
    }

    /** Guards against the lagging list overriding the agent, which is authoritative for its own drain. */
    @Test
    fun `a draining answer of the agent takes precedence over the list`() {
        val drained = view(2).after(MembershipEvent.AgentDraining(key(0), tickMillis = 10), 1)
        expectThat(drained.names()).containsExactly("t1")
        val reread = drained.after(MembershipEvent.ListRead(listOf(record(0), record(1)), seconds(2)), 2)
        expectThat(reread.names()).containsExactly("t1")
    }

    /** Guards against requests to a zone under maintenance, and against excluding it after its window has ended. */
    @Test
    fun `targets of a draining zone are not candidates until the drain ends`() {
        val drained = view(3).after(MembershipEvent.ZonesDraining(setOf(ZoneId("z1"))), 1)
        expectThat(drained.names()).containsExactly("t0", "t2")
        val reread = drained.after(MembershipEvent.ListRead(List(4) { record(it) }, seconds(2)), 2)
        expectThat(reread.names()).containsExactly("t0", "t2", "t3")
        expectThat(reread.after(MembershipEvent.ZonesDraining(emptySet()), 3).names()).hasSize(4)
    }

    /** Guards against a probe answer that was sent before the drain started and arrives later. */
    @Test
    fun `only a later answer of the agent ends its drain`() {
        val drained = view(2).after(MembershipEvent.AgentDraining(key(0), tickMillis = 10), 1)
        val early = drained.after(MembershipEvent.ProbeSucceeded(key(0), draining = false, tickMillis = 9), 2)
        expectThat(early.names()).containsExactly("t1")
        val late = drained.after(MembershipEvent.ProbeSucceeded(key(0), draining = false, tickMillis = 11), 2)
        expectThat(late.names()).containsExactly("t0", "t1")
    }

    /** Guards against ejecting a process because of failures of its predecessor. */
    @Test
    fun `a new incarnation starts without failure history`() {
        val ejected = view(2).after(MembershipEvent.AttemptFailed(key(0), FailureKind.REFUSED), 1)
        expectThat(ejected.names()).containsExactly("t1")
        val replaced = MembershipEvent.ListRead(listOf(record(0, incarnation = "2"), record(1)), seconds(2))
        expectThat(ejected.after(replaced, 2).names()).containsExactly("t0", "t1")
    }

    /** Guards against list reads that complete out of order. */
    @Test
    fun `a list requested earlier than the newest one is ignored`() {
        val view = view(3).after(MembershipEvent.ListRead(List(2) { record(it) }, seconds(5)), 5)
        expectThat(view.after(MembershipEvent.ListRead(List(3) { record(it) }, seconds(4)), 6).names()).hasSize(2)
    }

    /** Guards against removing all targets because the platform returned an empty list. */
    @Test
    fun `an empty list is ignored`() {
        expectThat(view(2).after(MembershipEvent.ListRead(emptyList(), seconds(1)), 1).names()).hasSize(2)
    }

    /** Guards against ejecting a target when only one connection failed; a probe on a new connection decides. */
    @Test
    fun `a timeout leads to a probe and not to an ejection`() {
        val silent = view(2).after(MembershipEvent.AttemptSucceeded(key(0)), 1)
            .after(MembershipEvent.AttemptSucceeded(key(1)), 1)
            .after(MembershipEvent.AttemptFailed(key(0), FailureKind.NO_RESPONSE), 2)
        expectThat(silent.names()).hasSize(2)
        expectThat(silent.dueKeys(2)).containsExactly(key(0))
        val dead = silent.after(MembershipEvent.ProbeFailed(key(0), FailureKind.REFUSED), 2)
        expectThat(dead.names()).containsExactly("t1")
    }

    /** Guards against probing a failed target without back-off. */
    @Test
    fun `each failed probe doubles the time to the next`() {
        var view = view(4).after(MembershipEvent.AttemptFailed(key(0), FailureKind.REFUSED), 0)
        for ((failedAt, nextAt) in listOf(1 to 3, 3 to 7, 7 to 15)) {
            view = view.after(MembershipEvent.ProbeFailed(key(0), FailureKind.REFUSED), failedAt)
            expectThat(key(0) in view.dueKeys(nextAt - 1)).isFalse()
            expectThat(key(0) in view.dueKeys(nextAt)).isTrue()
        }
        val back = view.after(MembershipEvent.ProbeSucceeded(key(0), draining = false, tickMillis = 1), 15)
        expectThat(back.names()).hasSize(4)
    }

    /** Guards against sending further probes while the answer to a probe is pending. */
    @Test
    fun `a started probe is not due`() {
        val view = view(1)
        expectThat(view.dueKeys(0)).containsExactly(key(0))
        expectThat(view.after(MembershipEvent.ProbeStarted(key(0)), 0).dueKeys(1)).isEmpty()
    }

    /** Guards against ejecting all targets because of a fault in the entry's own network. */
    @Test
    fun `ejection never empties a target set`(): Unit = runBlocking {
        val failures = Arb.list(Arb.pair(Arb.int(0..6), Arb.enum<FailureKind>()), 1..60)
        checkAll(500, Arb.int(1..7), failures) { size, failed ->
            expectThat(emptied(size, failed, MembershipPolicy())).isFalse()
        }
    }

    @Test
    fun `the check on ejection fails without the ejection limit`() {
        val failed = List(3) { it to FailureKind.REFUSED }
        expectThat(emptied(3, failed, MembershipPolicy(maxEjectedFraction = 1.0, minCandidates = 0))).isTrue()
    }

    private fun emptied(size: Int, failed: List<Pair<Int, FailureKind>>, policy: MembershipPolicy): Boolean {
        var view = view(size, policy)
        return failed.any { (index, kind) ->
            view = view.after(MembershipEvent.AttemptFailed(key(index % size), kind), 1)
            view.names().isEmpty()
        }
    }

    /** Guards against keeping a target that refuses connections while one with less certain failures is ejected. */
    @Test
    fun `refused connections are ejected first when the limit is reached`() {
        var view = view(2)
        repeat(3) { view = view.after(MembershipEvent.AttemptFailed(key(0), FailureKind.ERROR), 1) }
        expectThat(view.names()).containsExactly("t1")
        view = view.after(MembershipEvent.AttemptFailed(key(1), FailureKind.REFUSED), 2)
        expectThat(view.names()).containsExactly("t0")
        expectThat(view.ejected(chat)).isNotEmpty()
    }
}
