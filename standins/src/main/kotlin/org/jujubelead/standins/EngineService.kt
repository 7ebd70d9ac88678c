/**
 * Simulated model engine: slots with a priority queue, a prefix cache of limited size, and a delayed load report.
 *
 * All waiting uses `delay`, so that tests can run the engine in virtual time.
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

/** Constant parameters of a simulated engine. */
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
 * Faults, as set through the control interface.
 *
 * @property stalled true while no stream advances.
 * @property breakAfterTokens number of tokens after which each stream is interrupted; negative for never.
 * @property slowFactor factor for all delays.
 */
@Serializable
public data class EngineFaultBody(
    val stalled: Boolean = false,
    val breakAfterTokens: Int = -1,
    val slowFactor: Double = 1.0,
)

/** Stream counts, as reported by the control interface. */
@Serializable
public data class EngineCountBody(val started: Long, val finished: Long, val running: Int, val waiting: Int)

/** Record of a generation that got a slot. */
@Serializable
public data class GenerationStartBody(val attempt: String, val prompt: String, val delivered: Int, val atMillis: Long)

/** Time to the first token of a fully cached prompt, as a fraction of the time without a cache. */
private const val CACHED_FIRST_TOKEN_FRACTION = 0.2
private val stallPollInterval = 20.milliseconds

/** The engine; [nowMillis] must follow the same clock as `delay`. */
public class EngineService(
    public val profile: EngineProfile = EngineProfile(),
    private val journal: Journal = Journal(),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    private class Waiter(val priority: Int, val order: Long, val admitted: CompletableDeferred<Unit>)

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
    private var maxFence = Fence(0)
    private val queue = PriorityQueue(compareByDescending<Waiter> { it.priority }.thenBy { it.order })
    private val reports = ArrayDeque<Report>()
    private var running = 0
    private var arrivals = 0L
    private var finished = 0L

    /** Active faults. */
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
            val prefix = request.prompt + request.delivered.joinToString("")
            recordStart(request)
            storeCache(request, prefix)
            val cachedFraction = prefixes.use(prefix)
            pause(profile.firstToken * (1 - cachedFraction * (1 - CACHED_FIRST_TOKEN_FRACTION)))
            val answer = AnswerText(prompt = request.prompt, seed = request.seed)
            val length = answer.length(request.maxTokens)
            for (position in request.delivered.size until length) {
                val limit = faults.breakAfterTokens
                if (limit >= 0 && position - request.delivered.size >= limit) {
                    emit(GenerationEvent.Failed(EngineError.Interrupted("injected: interrupted after $limit tokens")))
                    return@flow
                }
                if (position > request.delivered.size) pause(profile.tokenGap)
                val token = answer.token(position)
                appendToCache(request, token)
                emit(GenerationEvent.Token(position = position, text = token))
            }
            emit(GenerationEvent.Done(tokens = length, reason = answer.reason(request.maxTokens)))
        } finally {
            synchronized(this@EngineService) { streams.remove(request.attempt.value) }
            freeSlot()
        }
    }

    /** Whether [id] is the loaded model. */
    @Synchronized
    public fun serves(id: ModelId): Boolean = model == id

    /** Loads a model. Returns false if [fence] is outdated, unless the engine ignores fences. */
    public suspend fun loadModel(id: ModelId, fence: Fence): Boolean {
        val accepted = synchronized(this) {
            val current = profile.ignoresFences || fence >= maxFence
            maxFence = maxOf(maxFence, fence)
            current
        }
        if (!accepted) return false
        pause(profile.loadTime)
        // A call with a higher fence can have arrived while the weights were loaded.
        return synchronized(this) {
            val current = profile.ignoresFences || fence >= maxFence
            if (current) model = id
            current
        }
    }

    /** Returns the cache of a running stream. */
    @Synchronized
    public fun exportCache(attempt: AttemptId): CacheExport? = streams[attempt.value]

    /** Imports the cache of a stream from another engine. Returns false if it belongs to another model. */
    public fun importCache(cache: CacheExport): Boolean = serves(cache.model).also { if (it) prefixes.use(cache.text) }

    /** Cache events published after [sequence]. Events are delayed and some are missing. */
    public fun cacheEvents(sequence: Long): List<CacheEvent> = prefixes.events(sequence)

    @Synchronized
    private fun recordStart(request: GenerationRequest) {
        val start = GenerationStartBody(request.attempt.value, request.prompt, request.delivered.size, nowMillis())
        starts += start
        journal.append(wireJson.encodeToString(start))
    }

    /** Records of all started generations without the first [skip]. */
    @Synchronized
    public fun starts(skip: Int): List<GenerationStartBody> = starts.drop(skip)

    @Synchronized
    private fun storeCache(request: GenerationRequest, text: String) {
        streams[request.attempt.value] = CacheExport(request.attempt, request.model, text)
    }

    private fun appendToCache(request: GenerationRequest, token: String) {
        exportCache(request.attempt)?.let { storeCache(request, it.text + token) }
    }

    /** The load as it was [EngineProfile.reportLag] ago. */
    @Synchronized
    public fun load(): EngineLoad {
        val until = dropOldReports()
        val report = reports.firstOrNull()?.takeIf { it.atMillis <= until }
        return report?.load ?: EngineLoad(running = 0, waiting = 0, capacity = profile.capacity)
    }

    /** Counts of streams since the start of the engine. */
    @Synchronized
    public fun counts(): EngineCountBody =
        EngineCountBody(started = arrivals, finished = finished, running = running, waiting = queue.size)

    private suspend fun pause(time: Duration) {
        delay(time * faults.slowFactor)
        while (faults.stalled) delay(stallPollInterval)
    }

    private suspend fun takeSlot(priority: Int) {
        val waiter = acquireOrEnqueue(priority) ?: return
        try {
            waiter.admitted.await()
        } catch (e: CancellationException) {
            cancelWaiter(waiter)
            throw e
        }
    }

    @Synchronized
    private fun acquireOrEnqueue(priority: Int): Waiter? {
        arrivals += 1
        val waiter = if (running < profile.capacity) {
            running += 1
            null
        } else {
            Waiter(priority = priority, order = arrivals, admitted = CompletableDeferred()).also { queue += it }
        }
        recordLoad()
        return waiter
    }

    /** Removes the waiter from the queue. If it was given a slot just before it was cancelled, the slot is freed. */
    private fun cancelWaiter(waiter: Waiter) {
        val queued = synchronized(this) { queue.remove(waiter).also { if (it) recordLoad() } }
        if (!queued) freeSlot()
    }

    @Synchronized
    private fun freeSlot() {
        finished += 1
        val next = queue.poll()
        if (next == null) running -= 1 else next.admitted.complete(Unit)
        recordLoad()
    }

    private fun recordLoad() {
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
