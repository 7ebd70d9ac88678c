package org.jujubelead.core.routing

import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.core.membership.MembershipEvent
import org.jujubelead.core.membership.MembershipView
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.chat
import org.jujubelead.core.membership.key
import org.jujubelead.core.membership.record
import org.jujubelead.core.membership.seconds
import org.jujubelead.core.membership.toTarget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class RoutingPolicyTest {
    private val policies = listOf(RoundRobin, LeastReported, TwoRandom, BoundedHash(), TwoChoices())

    private fun requestOf(vararg prefixes: Long) = RoutingRequest(chat, prefixes, workUnits = prefixes.size)

    private fun LoadTable.choose(
        policy: RoutingPolicy,
        request: RoutingRequest,
        size: Int,
        random: Random = Random(
            1,
        ),
    ) =
        policy.choose(request, snapshot(chat, targets(size), seconds(1)), random)

    private val all = List(20) { record(it).toTarget()!! }
    private val lists = HashMap<Int, List<Target>>()

    private fun targets(size: Int) = lists.getOrPut(size) { all.take(size) }

    /** Guards against a retry on the target that failed, and against giving up while an untried target exists. */
    @Test
    fun `a tried target is never chosen and an untried target is always found`(): Unit = runBlocking {
        checkAll(500, Arb.element(policies), Arb.int(1..20), Arb.set(Arb.int(0..19), 0..19), Arb.long()) {
                p,
                size,
                tried,
                seed,
            ->
            val request = RoutingRequest(chat, longArrayOf(seed), tried = tried.map { key(it) }.toSet())
            val decision = LoadTable(ZoneId("z0"), seed).choose(p, request, size, Random(seed))
            val left = (0 until size).any { it !in tried }
            if (left) {
                expectThat(decision).isA<RoutingDecision.Chosen>().get { target.key in request.tried }.isEqualTo(false)
            } else {
                expectThat(decision).isEqualTo(RoutingDecision.NoTarget(NoTargetReason.ALL_TRIED))
            }
        }
    }

    /** Guards against requests to a target that is known to be leaving (property P5). */
    @Test
    fun `a leaving or draining target is never chosen`(): Unit = runBlocking {
        checkAll(500, Arb.element(policies), Arb.set(Arb.int(0..7), 1..4), Arb.set(Arb.int(0..7), 1..3), Arb.long()) {
                p,
                leaving,
                draining,
                seed,
            ->
            val records = List(8) { record(it, if (it in leaving) InstanceState.LEAVING else InstanceState.LIVE) }
            var view = MembershipView().update(MembershipEvent.ListRead(records, seconds(0)), seconds(0))
            for (i in draining) view = view.update(MembershipEvent.AgentDraining(key(i), 1), seconds(0))
            val table = LoadTable(ZoneId("z0"), seed)
            // All targets have received the prefix before.
            all.take(8).forEach { table.started(it, requestOf(7), seconds(0)) }
            val snapshot = table.snapshot(chat, view.candidates(chat, seconds(1)), seconds(1))
            val decision = p.choose(requestOf(7), snapshot, Random(seed))
            val out = (leaving + draining).map { key(it) }
            if (decision is RoutingDecision.Chosen) expectThat(decision.target.key in out).isEqualTo(false)
        }
    }

    @Test
    fun `no target is chosen from an empty set`() {
        for (policy in policies) {
            expectThat(LoadTable(ZoneId("z0"), 1).choose(policy, requestOf(1), 0))
                .isEqualTo(RoutingDecision.NoTarget(NoTargetReason.NONE_LIVE))
        }
    }

    @Test
    fun `a target that has cached the prefix is preferred while it has free slots`() {
        val table = LoadTable(ZoneId("z0"), 1)
        val prompt = LongArray(30) { it.toLong() }
        table.choose(TwoChoices(), requestOf(*prompt), 12)
        table.started(targets(12)[0], requestOf(*prompt), seconds(0))
        table.firstToken(key(0), requestOf(*prompt))
        val decision = table.choose(TwoChoices(), requestOf(*prompt, 77), 12)
        expectThat(decision).isEqualTo(RoutingDecision.Chosen(targets(12)[0], ChoiceReason.PREFIX))
    }

    /** Guards against a popular prefix overloading the target that has cached it. */
    @Test
    fun `a free target is preferred to a full target that has cached the prefix`() {
        val table = LoadTable(ZoneId("z0"), 1)
        repeat(40) { table.started(targets(12)[0], requestOf(5), seconds(0)) }
        val decision = table.choose(TwoChoices(), requestOf(5), 12)
        expectThat(decision).isA<RoutingDecision.Chosen>().get { target.key == key(0) }.isEqualTo(false)
    }

    /** Guards against unnecessary traffic between zones, and against overload in a zone while others have capacity. */
    @Test
    fun `requests stay in the zone until it is full`() {
        val table = LoadTable(ZoneId("z0"), 1)
        fun spilled() = (1..200).count { i ->
            val decision = table.choose(TwoChoices(), requestOf(), 12, Random(i))
            decision is RoutingDecision.Chosen && decision.target.zone != ZoneId("z0")
        }
        expectThat(spilled()).isLessThan(1)
        for (target in targets(12).filter {
            it.zone == ZoneId("z0")
        }) {
            repeat(30) { table.started(target, requestOf(), seconds(0)) }
        }
        expectThat(spilled()).isGreaterThan(150)
    }
}
