package org.jujubelead.core.limit

import org.jujubelead.core.dispatch.Placement
import org.jujubelead.core.dispatch.ServiceQueue
import org.jujubelead.core.dispatch.Ticket
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReplicaLimitsTest {
    private fun replica(n: Int, zone: String = "z0") = Replica(
        id = ReplicaId("r$n"),
        service = ServiceId("s"),
        endpoint = Endpoint("r$n", 80),
        zone = ZoneId(zone),
        slots = 8,
        draining = false,
        startedAtMillis = 1,
    )

    private fun instances(count: Int, zones: Int) =
        (0 until count).associate { Endpoint("g$it", 80) to ZoneId("z${it % zones}") }

    private fun at(duration: Duration) = Timestamp.ZERO + duration

    /** Guards against instances that each use the whole limit, and against a limit that nobody uses. */
    @Test
    fun `shares of all instances add up to the limit`() {
        for (count in listOf(1, 3, 4, 14, 20, 300)) {
            val all = instances(count, zones = 3)
            for (zone in listOf("z0", "z2", "elsewhere")) {
                val shares = all.keys.map { limitShare(replica(1, zone), it, all) }
                expectThat(shares.sum()).isEqualTo(1.0)
                expectThat(shares.count { it > 0 }).isLessThanOrEqualTo(4)
            }
        }
    }

    /**
     * Guards against instances that exceed a limit together while others restart and reports are lost: in four seconds,
     * one and a half times the limit and five requests, of instances that have run for the stable window of 3 s.
     */
    @Test
    fun `instances keep a limit together although they restart and lose reports`() {
        for (seed in 1..30) {
            val random = Random(seed)
            val all = instances(listOf(2, 4, 14, 20).random(random), zones = 3)
            val limit = listOf(0.0, 0.4, 1.5, 6.0).random(random)
            val target = replica(1)
            val group = all.keys.associateWith { ReplicaLimits(it).apply { instances = all } }.toMutableMap()
            val stableFrom = all.keys.associateWith { STABLE_WINDOW }.toMutableMap()
            val sent = ArrayList<Duration>()
            var now = Duration.ZERO
            while (now < 30.seconds) {
                now += 20.milliseconds
                val (address, limits) = group.entries.random(random)
                if (random.nextInt(400) == 0) {
                    // The new process learns of the others after its first read of their list.
                    group[address] = ReplicaLimits(address)
                    stableFrom[address] = now + STABLE_WINDOW
                } else if (random.nextInt(8) == 0) {
                    limits.instances = all
                }
                if (limits.allows(target, at(now))) {
                    limits.requestSent(target, at(now))
                    limits.responded(target.incarnation, limit, sentAt = at(now), now = at(now))
                    if (now > stableFrom.getValue(address)) sent += now
                }
                for ((i, sender) in group.values.withIndex()) {
                    for (receiver in group.values) {
                        if (receiver !== sender && random.nextInt(20) == 0) {
                            receiver.reported(i.toLong(), sender.reportedLimits(listOf(target), at(now)), at(now))
                        }
                    }
                }
            }
            val most = sent.maxOfOrNull { from -> sent.count { it >= from && it < from + 4.seconds } } ?: 0
            expectThat(most.toDouble()).isLessThanOrEqualTo(1.5 * limit * 4 + 5)
        }
    }

    /** Guards against a limit that is lifted by a response which overtook the one that named it. */
    @Test
    fun `a response without a limit counts only if its request was sent later`() {
        val limits = ReplicaLimits(Endpoint("g0", 80)).apply { instances = instances(1, 1) }
        val r = replica(1)
        limits.responded(r.incarnation, 1.0, sentAt = at(1.seconds), now = at(2.seconds))
        limits.responded(r.incarnation, null, sentAt = at(1.5.seconds), now = at(3.seconds))
        expectThat(limits.limitOf(r, at(3.seconds))).isEqualTo(1.0)
        limits.responded(r.incarnation, null, sentAt = at(3.seconds), now = at(4.seconds))
        expectThat(limits.limitOf(r, at(4.seconds))).isNull()
    }

    /** Guards against an instance without a share that never learns that a limit has ended. */
    @Test
    fun `an instance without a share follows the reports of the others`() {
        val all = instances(6, zones = 2)
        val r = replica(1, zone = "z1")
        val limits = ReplicaLimits(Endpoint("g0", 80)).apply { instances = all }
        limits.responded(r.incarnation, 2.0, sentAt = at(1.seconds), now = at(1.seconds))
        expectThat(limits.allows(r, at(2.seconds))).isFalse()
        limits.reported(7, mapOf(ReplicaLimits.reportHash(r.incarnation) to 2.0), at(5.seconds))
        expectThat(limits.allows(r, at(10.seconds))).isFalse()
        limits.reported(7, emptyMap(), at(10.seconds))
        expectThat(limits.allows(r, at(10.seconds))).isTrue()
    }

    /** Guards against requests that wait for limited replicas until their deadline instead of being refused at once. */
    @Test
    fun `requests beyond the limits of all replicas are refused on arrival`() {
        val own = Endpoint("g0", 80)
        val replicas = List(3) { replica(it) }
        val limits = ReplicaLimits(own).apply { instances = mapOf(own to ZoneId("z0")) }
        replicas.forEach { limits.responded(it.incarnation, 1.0, sentAt = at(0.seconds), now = at(0.seconds)) }
        val queue = ServiceQueue(ownZone = ZoneId("z0"), limits = limits).apply { updateReplicas(replicas) }
        val now = at(1.seconds)
        val placements = List(40) {
            queue.submit(
                Ticket(1, latestOnTimeStart = now + 220.milliseconds, latestUsefulStart = now + 2.seconds),
                now,
            )
        }
        expectThat(placements.count { it is Placement.Assigned }).isEqualTo(3)
        expectThat(placements.count { it is Placement.Queued }).isLessThanOrEqualTo(6)
        expectThat(placements.count { it is Placement.Refused }).isGreaterThan(30)
    }

    /** Guards against a limit that is kept by not using the replica at all. */
    @Test
    fun `instances with a share use the limit`() {
        val all = instances(6, zones = 3)
        val target = replica(1)
        val group = all.keys.map { ReplicaLimits(it).apply { instances = all } }
        var sent = 0
        for (step in 0 until 3_000) {
            val now = at(10.milliseconds * step)
            for (limits in group.filter { it.allows(target, now) }) {
                limits.requestSent(target, now)
                limits.responded(target.incarnation, 2.0, sentAt = now, now = now)
                sent++
            }
            if (step % 30 != 0) continue
            for ((i, sender) in group.withIndex()) {
                val report = sender.reportedLimits(listOf(target), now)
                group.filter { it !== sender }.forEach { it.reported(i.toLong(), report, now) }
            }
        }
        // 30 s at 2 requests per second; the first requests of all six instances come before the limit is known.
        expectThat(sent).isIn(58..66)
    }

    private companion object {
        val STABLE_WINDOW: Duration = 3.seconds
    }
}
