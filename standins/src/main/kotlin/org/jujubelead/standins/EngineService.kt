/**
 * A model engine: slots with a priority queue, a prefix cache of limited memory, and a load report that lags.
 *
 * Time passes through `delay`, so that tests can run it in virtual time.
 */
package org.jujubelead.standins

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.Serializable
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.ModelId
import org.jujubelead.platform.CacheEvent
import org.jujubelead.platform.CacheExport
import org.jujubelead.platform.EngineError
import org.jujubelead.platform.EngineLoad
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.platform.GenerationRequest
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Constant properties of an engine. */
public data class EngineProfile(
    val model: String = "chat",
    val capacity: Int = 32,
    val firstToken: Duration = 100.milliseconds,
    val tokenGap: Duration = 30.milliseconds,
    val cachedBlocks: Int = 1_024,
    val reportLag: Duration = 1.seconds,
    val eventLag: Duration = 500.milliseconds,
    val lostEvents: Double = 0.02,
    val loadTime: Duration = 1.seconds,
    val seed: Long = 1,
    val ignoresFences: Boolean = false,
)

/**
 * Faults as the control interface takes them.
 *
 * @property stalled true while no stream advances.
 * @property breakAfterTokens each stream breaks off after so many tokens; negative for never.
 * @property slowFactor multiplies all times.
 */
@Serializable
public data class EngineFaultBody(
    val stalled: Boolean = false,
    val breakAfterTokens: Int = -1,
    val slowFactor: Double = 1.0,
)

/** Count of streams, as the control interface reports it. */
@Serializable
public data class EngineCountBody(val started: Long, val finished: Long, val running: Int, val waiting: Int)

/** One start of a generation in a slot. */
@Serializable
public data class GenerationStartBody(val attempt: String, val prompt: String, val delivered: Int, val atMillis: Long)

private const val CACHED_FIRST_TOKEN_SHARE = 0.2
private val stallPoll = 20.milliseconds

/** The engine. */
public class EngineService(
    public val profile: EngineProfile = EngineProfile(),
    private val journal: Journal = Journal(),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    private class Waiter(val priority: Int, val order: Long, val turn: CompletableDeferred<Unit>)

    private class Report(val atMillis: Long, val load: EngineLoad)

    private val prefixes = PrefixCache(
        capacity = profile.cachedBlocks,
        eventLag = profile.eventLag,
        lostEvents = profile.lostEvents,
        random = Random(profile.seed),
        nowMillis = nowMillis,
    )
    private val streams = HashMap<String, CacheExport>()
    private val starts = ArrayList<GenerationStartBody>()
    private var model = ModelId(profile.model)
    private var highestFence = Fence(0)
    private val queue = PriorityQueue(compareByDescending<Waiter> { it.priority }.thenBy { it.order })
    private val reports = ArrayDeque<Report>()
    private var running = 0
    private var arrivals = 0L
    private var finished = 0L

    /** Faults in force. */
    @Volatile
    public var faults: EngineFaultBody = EngineFaultBody()

    /** Runs a generation; cancelling the flow frees its slot. */
    public fun generate(request: GenerationRequest): Flow<GenerationEvent> = flow {
        if (!serves(request.model)) {
            val detail = "the model \"${request.model}\" is not loaded"
            emit(GenerationEvent.Failed(EngineError.Refused(detail)))
            return@flow
        }
        takeSlot(request.priority)
        try {
            val known = request.prompt + request.delivered.joinToString("")
            started(request)
            keep(request, known)
            val cached = prefixes.use(known)
            pause(profile.firstToken * (1 - cached * (1 - CACHED_FIRST_TOKEN_SHARE)))
            val answer = AnswerText(prompt = request.prompt, seed = request.seed)
            val length = answer.length(request.maxTokens)
            for (position in request.delivered.size until length) {
                val limit = faults.breakAfterTokens
                if (limit >= 0 && position - request.delivered.size >= limit) {
                    emit(GenerationEvent.Failed(EngineError.Interrupted("injected: broken off after $limit tokens")))
                    return@flow
                }
                if (position > request.delivered.size) pause(profile.tokenGap)
                val token = answer.token(position)
                extend(request, token)
                emit(GenerationEvent.Token(position = position, text = token))
            }
            emit(GenerationEvent.Done(tokens = length, reason = answer.reason(request.maxTokens)))
        } finally {
            synchronized(this@EngineService) { streams.remove(request.attempt.value) }
            freeSlot()
        }
    }

    /** Whether [id] is the model that is loaded now. */
    @Synchronized
    public fun serves(id: ModelId): Boolean = model == id

    /** Changes the model; false for an order with an old fence, unless the engine ignores fences. */
    public suspend fun loadModel(id: ModelId, fence: Fence): Boolean {
        val accepted = synchronized(this) {
            val current = profile.ignoresFences || fence >= highestFence
            highestFence = maxOf(highestFence, fence)
            current
        }
        if (!accepted) return false
        pause(profile.loadTime)
        // A higher order can have come while the weights were read.
        return synchronized(this) {
            val current = profile.ignoresFences || fence >= highestFence
            if (current) model = id
            current
        }
    }

    /** The cache of a running stream. */
    @Synchronized
    public fun exportCache(attempt: AttemptId): CacheExport? = streams[attempt.value]

    /** Takes the cache of a stream that ran elsewhere; false for another model. */
    public fun importCache(cache: CacheExport): Boolean = serves(cache.model).also { if (it) prefixes.use(cache.text) }

    /** Cache events after [sequence], late and with gaps. */
    public fun cacheEvents(sequence: Long): List<CacheEvent> = prefixes.events(sequence)

    @Synchronized
    private fun started(request: GenerationRequest) {
        val start = GenerationStartBody(request.attempt.value, request.prompt, request.delivered.size, nowMillis())
        starts += start
        journal.append(wireJson.encodeToString(start))
    }

    /** All starts since the first, numbered from 0, without the first [skip]. */
    @Synchronized
    public fun starts(skip: Int): List<GenerationStartBody> = starts.drop(skip)

    @Synchronized
    private fun keep(request: GenerationRequest, text: String) {
        streams[request.attempt.value] = CacheExport(request.attempt, request.model, text)
    }

    private fun extend(request: GenerationRequest, token: String) {
        exportCache(request.attempt)?.let { keep(request, it.text + token) }
    }

    /** The load of [EngineProfile.reportLag] ago. */
    @Synchronized
    public fun load(): EngineLoad {
        val until = dropOldReports()
        val report = reports.firstOrNull()?.takeIf { it.atMillis <= until }
        return report?.load ?: EngineLoad(running = 0, waiting = 0, capacity = profile.capacity)
    }

    /** Streams so far. */
    @Synchronized
    public fun counts(): EngineCountBody =
        EngineCountBody(started = arrivals, finished = finished, running = running, waiting = queue.size)

    private suspend fun pause(time: Duration) {
        delay(time * faults.slowFactor)
        while (faults.stalled) delay(stallPoll)
    }

    private suspend fun takeSlot(priority: Int) {
        val waiter = enter(priority) ?: return
        try {
            waiter.turn.await()
        } catch (e: CancellationException) {
            leave(waiter)
            throw e
        }
    }

    @Synchronized
    private fun enter(priority: Int): Waiter? {
        arrivals += 1
        val waiter = if (running < profile.capacity) {
            running += 1
            null
        } else {
            Waiter(priority = priority, order = arrivals, turn = CompletableDeferred()).also { queue += it }
        }
        report()
        return waiter
    }

    /** A waiter that is cancelled just when its turn comes gives the slot back. */
    private fun leave(waiter: Waiter) {
        val queued = synchronized(this) { queue.remove(waiter).also { if (it) report() } }
        if (!queued) freeSlot()
    }

    @Synchronized
    private fun freeSlot() {
        finished += 1
        val next = queue.poll()
        if (next == null) running -= 1 else next.turn.complete(Unit)
        report()
    }

    private fun report() {
        val load = EngineLoad(running = running, waiting = queue.size, capacity = profile.capacity)
        reports += Report(atMillis = nowMillis(), load = load)
        dropOldReports()
    }

    private fun dropOldReports(): Long {
        val until = nowMillis() - profile.reportLag.inWholeMilliseconds
        while (reports.size > 1 && reports[1].atMillis <= until) reports.removeFirst()
        return until
    }
}
