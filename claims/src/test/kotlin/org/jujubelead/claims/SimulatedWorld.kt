package org.jujubelead.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.execution.AttemptState
import org.jujubelead.core.execution.LedgerLimits
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueFaults
import org.jujubelead.standins.KeyValueService
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val ENTRIES = 4
private const val AGENTS = 3
private const val KEYS = 6
private const val KEYS_FOR_OWNERS = 24
private const val FAULT_KINDS = 9

/** Frozen entries, late writes and a slow service. */
internal val FAULTS_OF_OWNERS = listOf(2, 4, 5)

/** Entries, agents and the key-value service in virtual time, with faults drawn from [seed]. */
internal class SimulatedWorld(
    private val test: TestScope,
    seed: Long,
    private val defect: Defect? = null,
    kinds: List<Int>? = null,
) {
    private val random = Random(seed)
    private val scope: CoroutineScope = test.backgroundScope
    private val millis = { test.currentTime }
    val history = History()
    val service = KeyValueService()
    var injected = 0
        private set
    private var attempts = 0

    // More calls, so that a fault of an owner meets a write in flight.
    private val keys = if (kinds == null) KEYS else KEYS_FOR_OWNERS

    // Each seed draws from a few kinds of fault only, so that rare pairs of faults meet often.
    private val faultKinds = kinds ?: (0 until FAULT_KINDS).shuffled(random).take(random.nextInt(1, 5))

    // A third of the runs goes round a small ring and through chunks, a third has little room for tombstones.
    val settings = ClaimSettings(shards = 2, candidates = 2).let {
        if (random.nextInt(3) == 0) it.copy(ringSize = 6, compactEntries = 3) else it
    }

    // Times of the ledger are a fifth of the real ones, so that a short history outlives tombstones and records.
    private val limits = LedgerLimits(
        maxTickAge = 2.seconds,
        tombstoneRetention = 12.seconds,
        minFinishedRetention = 12.seconds,
        maxFinishedRetention = 30.seconds,
    ).let { if (random.nextInt(3) == 0) it.copy(maxTombstones = 1, maxRecords = 4) else it }
    private val agents = Array(AGENTS) { newAgent(it, life = 0) }
    private val entries = List(ENTRIES) { Entry(InstanceId("e$it"), ZoneId("z${it % 3}")) }

    private fun newAgent(index: Int, life: Int) = SimulatedAgent(
        id = InstanceId("t$index"),
        incarnation = Incarnation("$life"),
        world = scope,
        millis = millis,
        history = history,
        random = random,
        defect = defect,
        limits = limits,
    )

    /** One entry: its thread, its client of the service and its view of the fleet. */
    private inner class Entry(val id: InstanceId, val zone: ZoneId) : ClaimPeers, ClaimClock {
        val faults = KeyValueFaults()
        val dispatcher = PausableDispatcher(scope)
        var view: List<ClaimMember> = emptyList()
        private val client = InMemoryKeyValueStore(
            service = service,
            nowMillis = millis,
            faults = faults,
            random = random,
            runLater = ::later,
        )
        private val offset = random.nextInt(100).seconds

        private fun defective(client: KeyValueStore) = DefectiveStore(
            store = client,
            service = service,
            faults = faults,
            defect = defect,
            random = random,
            millis = millis,
            runLater = ::later,
        )

        val claims = ClaimService(
            self = id,
            incarnation = Incarnation("1"),
            store = if (defect == null) client else defective(client),
            peers = this,
            members = { view },
            settings = settings,
            clock = this,
            random = random,
            context = dispatcher,
        )

        override fun now() = Timestamp.ZERO + test.currentTime.milliseconds + offset

        override fun wall() = Instant.fromEpochSeconds(1_700_000_000) + test.currentTime.milliseconds + offset

        override suspend fun claim(
            peer: InstanceId,
            shard: Int,
            request: ClaimRequest,
            timeout: Duration,
        ): Result<ClaimAnswer, PeerError> {
            val owner = entries.firstOrNull { it.id == peer } ?: return Err(PeerError.NotSent("no such entry"))
            if (random.nextInt(50) == 0) return Err(PeerError.NotSent("refused"))
            val answer = send { owner.claims.answer(shard, request, timeout) }
            return withTimeoutOrNull(timeout) { answer.await() }?.let { Ok(it) } ?: Err(PeerError.Lost("timeout"))
        }

        /** Handles one call of a caller, with a new attempt for each claim. */
        suspend fun call(key: Int) {
            val mine = ArrayList<AttemptId>()
            val told = tryRequest(key, mine, replaces = null, triesLeft = 4)
            history.answers += History.Answer(key, mine, told, test.currentTime)
        }

        private suspend fun tryRequest(
            key: Int,
            mine: MutableList<AttemptId>,
            replaces: AttemptId?,
            triesLeft: Int,
        ): Told {
            if (triesLeft == 0) return Told.NOT_RUN
            val agent = agents.random(random)
            val attempt = ClaimedAttempt(AttemptId("a${attempts++}"), agent.id, agent.incarnation, agent.now())
            mine += attempt.attempt
            val decision = if (defect ==
                Defect.NO_CLAIM
            ) {
                ClaimDecision.Granted(attempt)
            } else {
                claim(key, attempt, replaces)
            }
            history.decisions += attempt.attempt to decision
            return when (decision) {
                is ClaimDecision.Granted -> dispatch(key, decision.permit)

                is ClaimDecision.Held -> askHolder(key, decision.holder, mine, triesLeft)

                ClaimDecision.Mismatch -> error("all requests of a key are the same")

                ClaimDecision.Unavailable -> Told.NOT_RUN

                ClaimDecision.Uncertain ->
                    if (defect == Defect.UNCERTAIN_IS_DISPATCHED) dispatch(key, attempt) else Told.UNKNOWN
            }
        }

        private suspend fun claim(key: Int, attempt: ClaimedAttempt, replaces: AttemptId?) = claims.claim(
            ClaimRequest(
                key = ClaimKey.of(WorkspaceId("w"), ServiceId("booking"), "$key"),
                requestHash = RequestHash(0),
                claimant = attempt,
                replaces = replaces,
                retention = 24.hours,
            ),
        )

        private suspend fun dispatch(key: Int, permit: ClaimedAttempt): Told {
            // The entry can be frozen after its last look at the deadline, for longer than a tombstone is kept.
            if (random.nextInt(6) == 0) delay(random.nextLong(20_000).milliseconds)
            val fresh = defect == Defect.TICK_AT_DISPATCH
            val sent = if (fresh) permit.copy(tick = process(permit.target).now()) else permit
            val answer = send { process(permit.target).execute(key, sent, timeLeftMillis = 5_000) }
            val finished = withTimeoutOrNull(1.seconds) { answer.await() }
            return when (finished) {
                true -> Told.SUCCESS
                false -> Told.NOT_RUN
                null -> if (cancel(permit) == AttemptState.NOT_RUN) Told.NOT_RUN else Told.UNKNOWN
            }
        }

        private suspend fun askHolder(
            key: Int,
            holder: ClaimedAttempt,
            mine: MutableList<AttemptId>,
            triesLeft: Int,
        ): Told = when (cancel(holder)) {
            AttemptState.FINISHED -> Told.SUCCESS

            AttemptState.NOT_RUN -> tryRequest(key, mine, replaces = holder.attempt, triesLeft - 1)

            AttemptState.UNKNOWN, null ->
                if (defect == Defect.UNKNOWN_IS_REPLACED) {
                    tryRequest(key, mine, replaces = holder.attempt, triesLeft - 1)
                } else {
                    Told.UNKNOWN
                }

            AttemptState.RUNNING, AttemptState.ADMITTED -> Told.UNKNOWN
        }

        private suspend fun cancel(permit: ClaimedAttempt): AttemptState? {
            val answer = send { process(permit.target).cancel(permit) }
            return withTimeoutOrNull(1.seconds) { answer.await() }
        }
    }

    private fun later(by: Duration, write: () -> Unit) {
        scope.launch {
            delay(by)
            write()
        }
    }

    private fun process(id: InstanceId) = agents.first { it.id == id }

    /** A message whose request or answer may be slow, very late, or lost. It is delivered once. */
    private fun <T> send(body: suspend () -> T): CompletableDeferred<T> {
        val answer = CompletableDeferred<T>()
        scope.launch {
            delay(transit() ?: return@launch)
            val value = body()
            delay(transit() ?: return@launch)
            answer.complete(value)
        }
        return answer
    }

    private fun transit(): Duration? = when (random.nextInt(40)) {
        0 -> null
        1 -> random.nextLong(20_000).milliseconds
        2 -> random.nextLong(2_000).milliseconds
        else -> random.nextLong(5).milliseconds
    }

    /** Runs callers and faults for [span] of virtual time. */
    suspend fun run(span: Duration) {
        for (entry in entries) {
            entry.view = entries.map { ClaimMember(it.id, it.zone) }
            scope.launch { entry.claims.run() }
        }
        delay(500.milliseconds)
        repeat(keys) { key -> scope.launch { callers(key, span.inWholeMilliseconds) } }
        // Two independent sources, so that two faults overlap.
        repeat(2) { scope.launch { injectFaults() } }
        delay(span)
    }

    private suspend fun callers(key: Int, spanMillis: Long) {
        delay(random.nextLong(spanMillis / 2).milliseconds)
        repeat(random.nextInt(2, 7)) {
            val entry = entries.random(random)
            scope.launch(entry.dispatcher) { entry.call(key) }
            delay(random.nextLong(if (random.nextBoolean()) 300 else 8_000).milliseconds)
        }
    }

    private suspend fun injectFaults() {
        while (true) {
            delay(random.nextLong(10_000).milliseconds)
            injected += 1
            val entry = entries.random(random)
            val agent = random.nextInt(AGENTS)
            val length = random.nextLong(10_000)
            when (faultKinds.random(random)) {
                0 -> entries.during(length, { faults.reachable = false }, { faults.reachable = true })

                1 -> entries.filter { it.zone == entry.zone }
                    .during(length, { faults.reachable = false }, { faults.reachable = true })

                2 -> listOf(entry).during(length, { dispatcher.pause() }, { dispatcher.resume() })

                3 -> entries.during(length, { faults.lostAnswers = 0.5 }, { faults.lostAnswers = 0.0 })

                4 -> entries.during(length, { lateWrites() }, { faults.lateWrites = 0.0 })

                5 -> entries.during(length, { faults.latency = 400.milliseconds }, { faults.latency = 2.milliseconds })

                6 -> agents[agent].let { old -> listOf(old).during(length, { pause() }, { resume() }) }

                7 -> replace(agent)

                else -> entry.view = entries.filter { random.nextBoolean() }.map { ClaimMember(it.id, it.zone) }
            }
        }
    }

    private fun Entry.lateWrites() {
        faults.lateWrites = 0.5
        faults.lateWriteDelay = random.nextLong(10_000).milliseconds
    }

    private fun replace(index: Int) {
        val old = agents[index]
        if (random.nextBoolean()) old.startDrain()
        agents[index] = newAgent(index, life = old.incarnation.value.toInt() + 1)
    }

    private suspend fun <T> List<T>.during(millis: Long, start: T.() -> Unit, stop: T.() -> Unit) {
        forEach { it.start() }
        delay(millis.milliseconds)
        forEach { it.stop() }
    }

    /** Attempts in the log of the service, replaced ones included. */
    fun loggedAttempts(): Set<AttemptId> = service.keys("claims/").flatMap { key ->
        val bytes = service.read(key)!!.bytes
        when {
            "/log/" in key -> decodeEntry(bytes).claims
            "/chunk/" in key -> decodeChunk(bytes).claims.map { it.claim }
            else -> emptyList()
        }
    }.map { it.holder.attempt }.toSet()
}
