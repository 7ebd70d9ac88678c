package org.jujubelead.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueFaults
import org.jujubelead.standins.KeyValueService
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ClaimServiceTest {
    private val keyValue = KeyValueService()
    private val faults = KeyValueFaults()
    private val settings = ClaimSettings(shards = 1, ringSize = 8, maxChunkEntries = 4)
    private var wallOffset = Duration.ZERO

    private inner class Fleet(private val test: TestScope) {
        val members = List(3) { ClaimMember(InstanceId("e$it"), ZoneId("z$it")) }
        val jobs = HashMap<InstanceId, Job>()
        var owner = members.first().id
        private val clock = object : ClaimClock {
            override fun now() = Timestamp.ZERO + test.currentTime.milliseconds
            override fun wall() = Instant.fromEpochMilliseconds(test.currentTime) + wallOffset
        }
        private val peers = object : ClaimPeers {
            override suspend fun claim(peer: InstanceId, shard: Int, request: ClaimRequest, timeout: Duration) =
                if (jobs[peer]?.isActive == true) {
                    Ok(services.getValue(peer).answer(shard, request, timeout))
                } else {
                    Err(PeerError.NotSent("refused"))
                }
        }
        val services: Map<InstanceId, ClaimService> = members.associate { member ->
            member.id to ClaimService(
                self = member.id,
                incarnation = Incarnation("1"),
                store = InMemoryKeyValueStore(keyValue, { test.currentTime }, faults, Random(1)),
                peers = peers,
                members = { members },
                settings = settings,
                clock = clock,
                random = Random(member.id.value.hashCode()),
                context = EmptyCoroutineContext,
                onTakeOver = { owner = member.id },
            )
        }

        suspend fun start() {
            services.forEach { (id, service) -> jobs[id] = test.backgroundScope.launch { service.run() } }
            delay(3.seconds)
        }

        suspend fun claim(key: Long, attempt: String, by: InstanceId = owner) = services.getValue(by).claim(
            ClaimRequest(ClaimKey(key, 0), RequestHash(1), holder(attempt), replaces = null, retention = 24.hours),
        )

        fun stopOwner() = jobs.getValue(owner).cancel()

        fun other() = members.map { it.id }.first { it != owner && jobs.getValue(it).isActive }
    }

    private fun holder(attempt: String) =
        ClaimedAttempt(AttemptId(attempt), InstanceId("t"), Incarnation("1"), Timestamp.ZERO)

    /** Guards against the loss of claims in compaction or take-over after the log ring has wrapped around. */
    @Test
    fun `a successor knows all keys claimed before`() = runTest {
        val fleet = Fleet(this).apply { start() }
        (1L..40L).forEach { expectThat(fleet.claim(it, "a$it")).isA<ClaimDecision.Granted>() }
        expectThat(keyValue.keys("claims/0/chunk/").size).isGreaterThan(5)
        expectThat(keyValue.keys("claims/0/log/").size).isEqualTo(8)
        fleet.stopOwner()
        delay(12.seconds)
        (1L..40L).forEach {
            expectThat(fleet.claim(it, "b$it", by = fleet.other())).isEqualTo(ClaimDecision.Held(holder("a$it")))
        }
    }

    /** Guards against unbounded growth of chunks, and against the loss of the log position with the last chunk. */
    @Test
    fun `expired chunks are deleted, the newest is kept`() = runTest {
        val fleet = Fleet(this).apply { start() }
        (1L..20L).forEach { fleet.claim(it, "a$it") }
        wallOffset = 25.hours
        (21L..44L).forEach { expectThat(fleet.claim(it, "a$it")).isA<ClaimDecision.Granted>() }
        expectThat(keyValue.keys("claims/0/chunk/").size).isLessThan(8)
        expectThat(fleet.claim(1, "b")).isA<ClaimDecision.Granted>()
    }

    /** Guards against an uncertain or failed claim when only the answer to its log write is lost. */
    @Test
    fun `a lost answer is resolved by reading the log entry`() = runTest {
        val fleet = Fleet(this).apply { start() }
        faults.lostAnswers = 1.0
        expectThat(fleet.claim(1, "a")).isEqualTo(ClaimDecision.Granted(holder("a")))
        faults.lostAnswers = 0.0
        expectThat(fleet.claim(1, "b")).isEqualTo(ClaimDecision.Held(holder("a")))
    }

    /** Guards against `unknown` for claims that were never written, and against a burst of requests after an outage. */
    @Test
    fun `claims are unavailable during an outage, and the service is not overloaded afterwards`() = runTest {
        val fleet = Fleet(this).apply { start() }
        faults.reachable = false
        val during = (1L..30L).map {
            delay(500.milliseconds)
            fleet.claim(it, "a$it", by = fleet.members[(it % 3).toInt()].id)
        }
        expectThat(during).all { isEqualTo(ClaimDecision.Unavailable) }
        faults.reachable = true
        delay(10.seconds)
        expectThat(fleet.claim(1, "b1")).isA<ClaimDecision.Granted>()
        expectThat(keyValue.counts().limited).isEqualTo(0)
    }

    /** Guards against reads of the key-value service by instances that look for the owner of a shard. */
    @Test
    fun `instances find the owner by hints, without reading the key-value service`() = runTest {
        val fleet = Fleet(this).apply { start() }
        fleet.claim(0, "a")
        val before = keyValue.counts().reads
        val started = currentTime
        (1L..10L).forEach { expectThat(fleet.claim(it, "a$it", fleet.other())).isA<ClaimDecision.Granted>() }
        // The two other candidates read the owner record after each failed attempt to acquire the lease.
        expectThat(keyValue.counts().reads - before).isLessThan(2 * ((currentTime - started) / 1_000 + 1) + 10)
    }
}
