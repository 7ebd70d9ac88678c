/**
 * Simulates a membership view with seeded random faults in virtual time: a list that lags and returns older copies,
 * flapping connections, lost answers, and targets that drain, leave, crash and restart.
 */
package org.jujubelead.core.membership

import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MembershipHistoryTest {
    private val seeds = 1L..1000L

    /** Guards against requests to leaving targets (property P5), and against targets that are excluded permanently. */
    @Test
    fun `leaving targets get no requests after 3 s and healthy targets become candidates again`() {
        expectThat(seeds.flatMap { MembershipHistory(it).run() }).isEmpty()
    }

    @Test
    fun `the check fails when draining answers of agents are ignored`() {
        val faults = (1L..50L).flatMap {
            MembershipHistory(it) { event -> event.takeIf { it !is MembershipEvent.AgentDraining } }.run()
        }
        expectThat(faults.filter { "after its agent" in it }).isNotEmpty()
    }

    @Test
    fun `the check fails when the leaving state in the list is ignored`() {
        val faults = (1L..50L).flatMap { seed ->
            MembershipHistory(seed) { event ->
                if (event !is MembershipEvent.ListRead) {
                    event
                } else {
                    event.copy(records = event.records.map { it.copy(state = InstanceState.LIVE) })
                }
            }.run()
        }
        expectThat(faults.filter { "after the list" in it }).isNotEmpty()
    }

    @Test
    fun `the check fails without retention of the leaving state`() {
        val policy = MembershipPolicy(leavingRetention = 0.seconds)
        expectThat(
            (1L..50L).flatMap {
                MembershipHistory(it, policy).run()
            }.filter { "after the list" in it },
        ).isNotEmpty()
    }

    @Test
    fun `the check fails without probes`() {
        val faults = (1L..50L).flatMap {
            MembershipHistory(it) { event -> event.takeIf { it !is MembershipEvent.ProbeSucceeded } }.run()
        }
        expectThat(faults.filter { "did not return" in it }).isNotEmpty()
    }
}

/** One simulation. [filter] disables mechanisms of the view by changing or dropping events. */
private class MembershipHistory(
    seed: Long,
    policy: MembershipPolicy = MembershipPolicy(),
    private val filter: (MembershipEvent) -> MembershipEvent? = { it },
) {
    private class Node(
        var incarnation: Int = 1,
        var alive: Boolean = true,
        var draining: Boolean = false,
        var leaving: Boolean = false,
    ) {
        var pathDownUntil = Timestamp.ZERO
        var agentDrainSeenAt: Timestamp? = null
        var leavingSeenAt: Timestamp? = null
    }

    private class Delayed(val at: Timestamp, val event: MembershipEvent)

    private val random = Random(seed)
    private val nodes = List(1 + random.nextInt(8)) { Node() }
    private val lists = ArrayList<List<InstanceRecord>>()
    private val inTransit = ArrayList<Delayed>()
    private var view = MembershipView(policy)
    private val faults = ArrayList<String>()
    private var now = Timestamp.ZERO

    fun run(): List<String> {
        tickUntil(FAULT_PHASE_END) { true }
        // Draining and leaving processes are replaced by new incarnations. No faults occur from here on.
        nodes.forEach { if (!it.alive || it.draining || it.leaving) restart(it) }
        tickUntil(FAULT_PHASE_END + RECOVERY_PHASE) { false }
        val back = view.candidates(chat, now).map { it.key }.toSet()
        nodes.forEachIndexed { i, node -> if (keyOf(i, node) !in back) faults += "t$i did not return" }
        return faults
    }

    private fun tickUntil(end: Timestamp, faulty: () -> Boolean) {
        while (now < end) {
            now += TICK
            if (faulty()) inject()
            if (now.micros % PUBLISH_PERIOD_MICROS == 0L) publish()
            deliver()
            if (now.micros % LIST_PERIOD_MICROS == 0L) readList(if (faulty()) random.nextInt(MAX_LAG) else 0)
            repeat(2) { work(faulty()) }
            probe(faulty())
        }
    }

    /** Publishes a new list. A crashed process appears in a random half of the lists. */
    private fun publish() {
        lists += nodes.mapIndexed { i, node ->
            record(i, if (node.leaving) InstanceState.LEAVING else InstanceState.LIVE, node.incarnation.toString())
        }.filterIndexed { i, _ -> nodes[i].alive || random.nextBoolean() }
    }

    private fun inject() {
        val node = nodes.random(random)
        when (random.nextInt(200)) {
            0 -> if (node.alive) node.draining = true
            1 -> if (node.alive) node.leaving = true
            2 -> node.alive = false
            in 3..9 -> node.pathDownUntil = now + random.nextInt(100, 3000).milliseconds
            in 10..14 -> if (!node.alive || node.draining || node.leaving) restart(node)
        }
    }

    private fun restart(node: Node) {
        node.incarnation++
        node.alive = true
        node.draining = false
        node.leaving = false
        node.agentDrainSeenAt = null
        node.leavingSeenAt = null
    }

    private fun readList(lag: Int) {
        val records = lists[(lists.size - 1 - lag).coerceAtLeast(0)]
        apply(MembershipEvent.ListRead(records, now))
        for (record in records) {
            val node = nodes[record.id.value.drop(1).toInt()]
            val same = record.incarnation.value == node.incarnation.toString()
            if (same && record.state == InstanceState.LEAVING && node.leavingSeenAt == null) node.leavingSeenAt = now
        }
    }

    private fun work(faulty: Boolean) {
        val target = view.candidates(chat, now).randomOrNull(random) ?: return
        val index = target.key.instance.value.drop(1).toInt()
        val node = nodes[index]
        if (target.key !=
            keyOf(index, node)
        ) {
            return later(MembershipEvent.AttemptFailed(target.key, FailureKind.REFUSED))
        }
        node.agentDrainSeenAt?.let {
            if (now - it >
                MAX_DELAY
            ) {
                faults += "t$index got a request ${now - it} after its agent reported draining"
            }
        }
        node.leavingSeenAt?.let {
            if (now - it >
                MAX_DELAY
            ) {
                faults += "t$index got a request ${now - it} after the list showed it as leaving"
            }
        }
        if (faulty && random.nextInt(10) == 0) return
        later(
            when {
                !node.alive -> MembershipEvent.AttemptFailed(target.key, FailureKind.REFUSED)
                now < node.pathDownUntil -> MembershipEvent.AttemptFailed(target.key, FailureKind.NO_RESPONSE)
                node.draining -> MembershipEvent.AgentDraining(target.key, tick())
                random.nextInt(20) == 0 && faulty -> MembershipEvent.AttemptFailed(target.key, FailureKind.ERROR)
                else -> MembershipEvent.AttemptSucceeded(target.key)
            },
        )
    }

    private fun probe(faulty: Boolean) {
        for (target in view.probesDue(now)) {
            apply(MembershipEvent.ProbeStarted(target.key))
            val index = target.key.instance.value.drop(1).toInt()
            val node = nodes[index]
            if (faulty && random.nextInt(5) == 0) continue
            val reached = node.alive && target.key == keyOf(index, node)
            later(
                when {
                    !reached -> MembershipEvent.ProbeFailed(target.key, FailureKind.REFUSED)
                    now < node.pathDownUntil -> MembershipEvent.ProbeFailed(target.key, FailureKind.NO_RESPONSE)
                    else -> MembershipEvent.ProbeSucceeded(target.key, node.draining, tick())
                },
            )
        }
    }

    /** Delivers [event] after a random delay of less than 600 ms, so that answers can arrive out of order. */
    private fun later(event: MembershipEvent) {
        inTransit += Delayed(now + random.nextInt(1, 600).milliseconds, event)
    }

    private fun deliver() {
        val due = inTransit.filter { it.at <= now }.sortedBy { it.at }
        inTransit.removeAll(due)
        for (delayed in due) {
            apply(delayed.event)
            val event = delayed.event
            if (event !is MembershipEvent.AgentDraining) continue
            val index = event.target.instance.value.drop(1).toInt()
            val node = nodes[index]
            if (event.target == keyOf(index, node) && node.agentDrainSeenAt == null) node.agentDrainSeenAt = now
        }
    }

    private fun apply(event: MembershipEvent) {
        filter(event)?.let { view = view.update(it, now) }
        if (view.known.isNotEmpty() && nodes.any { it.alive } && view.ejected(chat).size >= view.known.size) {
            faults += "all targets are ejected"
        }
    }

    private fun keyOf(index: Int, node: Node) = key(index, node.incarnation.toString())

    private fun tick() = now.micros / 1000

    private companion object {
        val TICK = 100.milliseconds
        val FAULT_PHASE_END = Timestamp.ZERO + 60.seconds
        val RECOVERY_PHASE = 75.seconds
        val MAX_DELAY = 3.seconds
        const val LIST_PERIOD_MICROS = 1_000_000L
        const val PUBLISH_PERIOD_MICROS = 500_000L

        /** Maximum age of a list in publish periods, equal to 6 s. */
        const val MAX_LAG = 12
    }
}
