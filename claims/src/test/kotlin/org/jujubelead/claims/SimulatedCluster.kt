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

private const val INSTANCES = 4
private const val AGENTS = 3
private const val KEYS = 6
private const val OWNER_FAULT_KEYS = 24
private const val FAULT_KINDS = 9

/** Kinds of fault that affect the owner of a shard: frozen instances, late writes and a slow key-value service. */
internal val OWNER_FAULTS = listOf(2, 4, 5)

/** Entry instances, agents and the key-value service in virtual time, with random faults drawn from [seed]. */
internal class SimulatedCluster(
    private val test: TestScope,
    seed: Long,
    private val defect: Defect? = null,
    allowedFaultKinds: List<Int>? = null,
) {
    private val random = Random(seed)
    private val scope: CoroutineScope = test.backgroundScope
    private val nowMillis = { test.currentTime }
    val history = History()
    val service = KeyValueService()
    var injectedFaults = 0
        private set
    private var attempts = 0

    // More keys make more calls, so that the fault of an owner coincides with an in-flight write.
    private val keys = if (allowedFaultKinds == null) KEYS else OWNER_FAULT_KEYS

    // Each seed uses only a few kinds of fault, so that rare combinations of faults occur often.
    private val faultKinds = allowedFaultKinds ?: (0 until FAULT_KINDS).shuffled(random).take(random.nextInt(1, 5))

    // A third of the runs uses a small log ring, which wraps around and is compacted. Independently of that, a third of
    // the runs limits the ledger to one tombstone.
    val settings = ClaimSettings(shards = 2, candidateCount = 2).let {
        if (random.nextInt(3) == 0) it.copy(ringSize = 6, maxChunkEntries = 3) else it
    }

    // The times of the ledger are a fifth of the production values, so that tombstones and records expire within a run.
    private val limits = LedgerLimits(
        maxTickAge = 2.seconds,
        tombstoneRetention = 12.seconds,
        minFinishedRetention = 12.seconds,
        maxFinishedRetention = 30.seconds,
    ).let { if (random.nextInt(3) == 0) it.copy(maxTombstones = 1, maxRecords = 4) else it }
    private val agents = Array(AGENTS) { newAgent(it, number = 0) }
    private val instances = List(INSTANCES) { EntryInstance(InstanceId("e$it"), ZoneId("z${it % 3}")) }

    private fun newAgent(index: Int, number: Int) = SimulatedAgent(
        id = InstanceId("t$index"),
        incarnation = Incarnation("$number"),
        scope = scope,
        nowMillis = nowMillis,
        history = history,
        random = random,
        defect = defect,
        limits = limits,
    )

    /** An entry instance with its thread, its client of the key-value service and its view of the members. */
    private inner class EntryInstance(val id: InstanceId, val zone: ZoneId) : ClaimPeers, ClaimClock {
        val faults = KeyValueFaults()
        val dispatcher = PausableDispatcher(scope)
        var visibleMembers: List<ClaimMember> = emptyList()
        private val client = InMemoryKeyValueStore(
            service = service,
            nowMillis = nowMillis,
            faults = faults,
            random = random,
            runLater = ::runLater,
        )
        private val offset = random.nextInt(100).seconds

        private fun defective(client: KeyValueStore) = DefectiveStore(
            store = client,
            service = service,
            faults = faults,
            defect = defect,
            random = random,
            nowMillis = nowMillis,
            runLater = ::runLater,
        )

        val claims = ClaimService(
            self = id,
            incarnation = Incarnation("1"),
            store = if (defect == null) client else defective(client),
            peers = this,
            members = { visibleMembers },
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
            val owner = instances.firstOrNull { it.id == peer } ?: return Err(PeerError.NotSent("unknown peer"))
            if (random.nextInt(50) == 0) return Err(PeerError.NotSent("refused"))
            val answer = sendMessage { owner.claims.answer(shard, request, timeout) }
            return withTimeoutOrNull(timeout) { answer.await() }?.let { Ok(it) } ?: Err(PeerError.Lost("timeout"))
        }

        /** Handles one call of a caller. Each claim is made for a new attempt. */
        suspend fun call(key: Int) {
            val attemptIds = ArrayList<AttemptId>()
            val outcome = tryRequest(key, attemptIds, replaces = null, remainingTries = 4)
            history.answers += History.Answer(key, attemptIds, outcome, test.currentTime)
        }

        private suspend fun tryRequest(
            key: Int,
            attemptIds: MutableList<AttemptId>,
            replaces: AttemptId?,
            remainingTries: Int,
        ): CallOutcome {
            if (remainingTries == 0) return CallOutcome.NOT_RUN
            val agent = agents.random(random)
            val attempt = ClaimedAttempt(AttemptId("a${attempts++}"), agent.id, agent.incarnation, agent.now())
            attemptIds += attempt.attempt
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

                is ClaimDecision.Held -> resolveHeldKey(key, decision.holder, attemptIds, remainingTries)

                ClaimDecision.Mismatch -> error("unexpected mismatch: all requests of a key are the same")

                ClaimDecision.Unavailable -> CallOutcome.NOT_RUN

                ClaimDecision.Uncertain ->
                    if (defect == Defect.UNCERTAIN_IS_DISPATCHED) dispatch(key, attempt) else CallOutcome.UNKNOWN
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

        private suspend fun dispatch(key: Int, permit: ClaimedAttempt): CallOutcome {
            // An instance can be frozen after its last deadline check for longer than a tombstone is kept.
            if (random.nextInt(6) == 0) delay(random.nextLong(20_000).milliseconds)
            val readTickAtDispatch = defect == Defect.TICK_AT_DISPATCH
            val sent = if (readTickAtDispatch) permit.copy(tick = agentOf(permit.target).now()) else permit
            val answer = sendMessage { agentOf(permit.target).execute(key, sent, timeLeftMillis = 5_000) }
            val executed = withTimeoutOrNull(1.seconds) { answer.await() }
            return when (executed) {
                true -> CallOutcome.SUCCESS
                false -> CallOutcome.NOT_RUN
                null -> if (cancel(permit) == AttemptState.NOT_RUN) CallOutcome.NOT_RUN else CallOutcome.UNKNOWN
            }
        }

        private suspend fun resolveHeldKey(
            key: Int,
            holder: ClaimedAttempt,
            attemptIds: MutableList<AttemptId>,
            remainingTries: Int,
        ): CallOutcome = when (cancel(holder)) {
            AttemptState.FINISHED -> CallOutcome.SUCCESS

            AttemptState.NOT_RUN -> tryRequest(key, attemptIds, replaces = holder.attempt, remainingTries - 1)

            AttemptState.UNKNOWN, null ->
                if (defect == Defect.UNKNOWN_IS_REPLACED) {
                    tryRequest(key, attemptIds, replaces = holder.attempt, remainingTries - 1)
                } else {
                    CallOutcome.UNKNOWN
                }

            AttemptState.RUNNING, AttemptState.ADMITTED -> CallOutcome.UNKNOWN
        }

        private suspend fun cancel(permit: ClaimedAttempt): AttemptState? {
            val answer = sendMessage { agentOf(permit.target).cancel(permit) }
            return withTimeoutOrNull(1.seconds) { answer.await() }
        }
    }

    private fun runLater(by: Duration, write: () -> Unit) {
        scope.launch {
            delay(by)
            write()
        }
    }

    private fun agentOf(id: InstanceId) = agents.first { it.id == id }

    /** Sends a message that is delivered at most once. Its request or answer may be slow, very late or lost. */
    private fun <T> sendMessage(body: suspend () -> T): CompletableDeferred<T> {
        val answer = CompletableDeferred<T>()
        scope.launch {
            delay(networkDelay() ?: return@launch)
            val value = body()
            delay(networkDelay() ?: return@launch)
            answer.complete(value)
        }
        return answer
    }

    private fun networkDelay(): Duration? = when (random.nextInt(40)) {
        0 -> null
        1 -> random.nextLong(20_000).milliseconds
        2 -> random.nextLong(2_000).milliseconds
        else -> random.nextLong(5).milliseconds
    }

    /** Runs the instances, the callers and the fault injection for [span] of virtual time. */
    suspend fun run(span: Duration) {
        for (instance in instances) {
            instance.visibleMembers = instances.map { ClaimMember(it.id, it.zone) }
            scope.launch { instance.claims.run() }
        }
        delay(500.milliseconds)
        repeat(keys) { key -> scope.launch { callRepeatedly(key, span.inWholeMilliseconds) } }
        // Two independent injectors, so that two faults can overlap.
        repeat(2) { scope.launch { injectFaults() } }
        delay(span)
    }

    private suspend fun callRepeatedly(key: Int, spanMillis: Long) {
        delay(random.nextLong(spanMillis / 2).milliseconds)
        repeat(random.nextInt(2, 7)) {
            val instance = instances.random(random)
            scope.launch(instance.dispatcher) { instance.call(key) }
            delay(random.nextLong(if (random.nextBoolean()) 300 else 8_000).milliseconds)
        }
    }

    private suspend fun injectFaults() {
        while (true) {
            delay(random.nextLong(10_000).milliseconds)
            injectedFaults += 1
            val instance = instances.random(random)
            val agent = random.nextInt(AGENTS)
            val durationMillis = random.nextLong(10_000)
            when (faultKinds.random(random)) {
                0 -> instances.withFault(durationMillis, { faults.reachable = false }, { faults.reachable = true })

                1 -> instances.filter { it.zone == instance.zone }
                    .withFault(durationMillis, { faults.reachable = false }, { faults.reachable = true })

                2 -> listOf(instance).withFault(durationMillis, { dispatcher.pause() }, { dispatcher.resume() })

                3 -> instances.withFault(durationMillis, { faults.lostAnswers = 0.5 }, { faults.lostAnswers = 0.0 })

                4 -> instances.withFault(durationMillis, { lateWrites() }, { faults.lateWrites = 0.0 })

                5 -> instances.withFault(durationMillis, { faults.latency = 400.milliseconds }, {
                    faults.latency =
                        2.milliseconds
                })

                6 -> agents[agent].let { replaced ->
                    listOf(replaced).withFault(durationMillis, { pause() }, { resume() })
                }

                7 -> replace(agent)

                else ->
                    instance.visibleMembers =
                        instances.filter { random.nextBoolean() }.map { ClaimMember(it.id, it.zone) }
            }
        }
    }

    private fun EntryInstance.lateWrites() {
        faults.lateWrites = 0.5
        faults.lateWriteDelay = random.nextLong(10_000).milliseconds
    }

    private fun replace(index: Int) {
        val replaced = agents[index]
        if (random.nextBoolean()) replaced.startDrain()
        agents[index] = newAgent(index, number = replaced.incarnation.value.toInt() + 1)
    }

    private suspend fun <T> List<T>.withFault(durationMillis: Long, start: T.() -> Unit, stop: T.() -> Unit) {
        forEach { it.start() }
        delay(durationMillis.milliseconds)
        forEach { it.stop() }
    }

    /** Returns the attempts in the stored log and its chunks, including attempts that were replaced. */
    fun loggedAttempts(): Set<AttemptId> = service.keys("claims/").flatMap { key ->
        val bytes = service.read(key)!!.bytes
        when {
            "/log/" in key -> decodeEntry(bytes).claims
            "/chunk/" in key -> decodeChunk(bytes).claims.map { it.claim }
            else -> emptyList()
        }
    }.map { it.holder.attempt }.toSet()
}
