/** Entry instances with claim services that use the in-memory key-value service, in virtual time. */
package org.jujubelead.bench.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.HdrHistogram.Histogram
import org.jujubelead.claims.ClaimClock
import org.jujubelead.claims.ClaimMember
import org.jujubelead.claims.ClaimPeers
import org.jujubelead.claims.ClaimService
import org.jujubelead.claims.ClaimSettings
import org.jujubelead.claims.PeerError
import org.jujubelead.claims.TakeOver
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.ClaimChunk
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueFaults
import org.jujubelead.standins.KeyValueService
import java.util.UUID
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of entry instances in the reference deployment. */
private const val INSTANCES = 4
private const val ZONES = 3

/** Number of targets that claims refer to: those of the plain services at the design size. */
private const val TARGETS = 400

/** Maximum latency that the histogram records, in milliseconds. */
private const val MAX_LATENCY_MS = 60_000L
private const val MILLIS_PER_SECOND = 1_000.0

/** One-way network latency between two instances, as between the zones of the rental assistant. */
private val ONE_WAY_LATENCY = 1.milliseconds

/** Counts of claims by decision, and their latency. */
internal class ClaimCounts {
    var granted = 0L
    var unavailable = 0L
    var uncertain = 0L
    var other = 0L
    val latency = Histogram(MAX_LATENCY_MS, 3)

    /** Virtual times in milliseconds: this property and the two after it. */
    var firstGrantMillis = Long.MAX_VALUE
        private set
    var lastGrantMillis = 0L
        private set
    var lastRefusalMillis = 0L
        private set

    fun record(decision: ClaimDecision, tookMillis: Long, atMillis: Long) {
        if (decision !is ClaimDecision.Granted) lastRefusalMillis = atMillis
        when (decision) {
            is ClaimDecision.Granted -> {
                granted += 1
                firstGrantMillis = minOf(firstGrantMillis, atMillis)
                lastGrantMillis = atMillis
                latency.recordValue(tookMillis.coerceAtMost(MAX_LATENCY_MS))
            }

            ClaimDecision.Unavailable -> unavailable += 1

            ClaimDecision.Uncertain -> uncertain += 1

            is ClaimDecision.Held, ClaimDecision.Mismatch -> other += 1
        }
    }
}

/** A fleet of entry instances that claim keys and own shards. */
internal class VirtualFleet(private val test: TestScope, private val settings: ClaimSettings, seed: Long) :
    ClaimPeers,
    ClaimClock {
    private val random = Random(seed)
    private val scope: CoroutineScope = test.backgroundScope
    private val members = List(INSTANCES) { ClaimMember(InstanceId("entry-$it"), ZoneId("zone-${it % ZONES}")) }
    private val liveInstances = members.map { it.id }.toMutableSet()
    private val jobs = HashMap<InstanceId, Job>()
    val faults = KeyValueFaults()
    val service = KeyValueService()
    val takeOvers = ArrayList<TakeOver>()

    var peakReads = 0
        private set
    var peakWrites = 0
        private set

    /** The instance that completed the most recent take-over. */
    var lastOwner: InstanceId? = null
        private set

    private val services = members.map { member ->
        ClaimService(
            self = member.id,
            incarnation = Incarnation(uuid()),
            store = InMemoryKeyValueStore(service, { test.currentTime }, faults, random),
            peers = this,
            members = { members },
            settings = settings,
            clock = this,
            random = random,
            context = EmptyCoroutineContext,
            onTakeOver = {
                takeOvers += it
                lastOwner = member.id
            },
        )
    }

    private val targets = List(TARGETS) { InstanceId("target-$it") to Incarnation(uuid()) }

    override fun now(): Timestamp = Timestamp.ZERO + test.currentTime.milliseconds

    override fun wall(): Instant = Instant.fromEpochMilliseconds(test.currentTime)

    override suspend fun claim(
        peer: InstanceId,
        shard: Int,
        request: ClaimRequest,
        timeout: Duration,
    ): Result<ClaimAnswer, PeerError> {
        delay(ONE_WAY_LATENCY)
        if (peer !in liveInstances) return Err(PeerError.NotSent("connection refused"))
        return Ok(services[indexOf(peer)].answer(shard, request, timeout)).also { delay(ONE_WAY_LATENCY) }
    }

    /** Starts the claim services of all instances. */
    fun start() {
        services.forEachIndexed { i, service -> jobs[members[i].id] = scope.launch { service.run() } }
    }

    /** Stops an instance. */
    fun stop(id: InstanceId) {
        liveInstances -= id
        jobs.getValue(id).cancel()
    }

    /** Claims new keys at a rate of [perSecond] for [span] and waits for the answers. */
    suspend fun load(perSecond: Double, span: Duration): ClaimCounts {
        val counts = ClaimCounts()
        val calls = ArrayList<Job>()
        var pendingCalls = 0.0
        repeat(span.inWholeMilliseconds.toInt()) {
            pendingCalls += perSecond / MILLIS_PER_SECOND
            while (pendingCalls >= 1) {
                pendingCalls -= 1
                calls += scope.launch { call(counts) }
            }
            delay(1.milliseconds)
        }
        calls.forEach { it.join() }
        return counts
    }

    private suspend fun call(counts: ClaimCounts) {
        val started = test.currentTime
        val caller = liveInstances.random(random)
        val service = services[indexOf(caller)]
        val decision = service.claim(newRequest())
        counts.record(decision, test.currentTime - started, test.currentTime)
    }

    fun newRequest(): ClaimRequest {
        val (target, incarnation) = targets.random(random)
        return ClaimRequest(
            key = ClaimKey.of(WorkspaceId("w"), ServiceId("booking"), uuid()),
            requestHash = RequestHash(random.nextLong()),
            claimant = ClaimedAttempt(AttemptId(uuid()), target, incarnation, now()),
            retention = 24.hours,
        )
    }

    /** Returns the total size of the log slots of all shards. */
    fun logBytes(): Long = storedValues("log").sumOf { it.size.toLong() }

    fun chunkBytesPerClaim(): Double {
        val chunks = storedValues("chunk")
        return chunks.sumOf { it.size.toLong() }.toDouble() / chunks.sumOf { ClaimChunk.parseFrom(it).claimsCount }
    }

    private fun storedValues(part: String): List<ByteArray> = service.keys("claims/")
        .filter { "/$part/" in it }
        .mapNotNull { service.read(it)?.bytes }

    /** Counts the calls to the key-value service in each second and updates [peakReads] and [peakWrites]. */
    fun recordPeakRates(): Job = scope.launch {
        var last = service.counts()
        while (true) {
            delay(1.seconds)
            val next = service.counts()
            peakReads = maxOf(peakReads, (next.reads - last.reads).toInt())
            peakWrites = maxOf(peakWrites, (next.writes - last.writes).toInt())
            last = next
        }
    }

    private fun indexOf(id: InstanceId) = members.indexOfFirst { it.id == id }

    private fun uuid() = UUID(random.nextLong(), random.nextLong()).toString()
}
