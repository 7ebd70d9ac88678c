/** State of an agent: the ledger, the streams of attempts in progress, and the load of the target. */
package org.jujubelead.runtime.agent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.jujubelead.core.execution.ExecutionLedger
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Load
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.runtime.process.ControlThread
import org.jujubelead.runtime.telemetry.Event
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Frames of a model stream that may wait for an acknowledgement. About 100 KB of tokens. */
private const val STREAM_CAPACITY = 2_048

/** A model stream that nobody reads is cancelled after this time; an entry resumes within a second. */
private val ORPHAN_LIMIT: Duration = 10.seconds

/** A reader that lost its connection comes back within this time, or not at all. */
private val RESUME_LIMIT: Duration = 3.seconds

/** A finished stream stays readable this long after its last reader left. */
private val FINISHED_LIMIT: Duration = 30.seconds

/**
 * @property target runs the work of an attempt and writes its frames.
 * @property traffic scope of the work; it outlives the calls that started it, so that answers can be resumed.
 */
public class AgentState(
    public val instance: InstanceId,
    public val incarnation: Incarnation,
    public val control: ControlThread,
    public val capacity: Int,
    private val target: TargetRunner,
    private val traffic: CoroutineScope,
    private val durations: WorkDurations = WorkDurations(),
) {
    private class Work(val stream: AttemptStream, val cancellable: Boolean, val job: Job)

    private val works = ConcurrentHashMap<AttemptId, Work>()

    /** Owned by the control thread. */
    public val ledger: ExecutionLedger<Unit> = ExecutionLedger(incarnation)

    /** Revision of the settings in force here. */
    @Volatile public var settingsRevision: Long = 0

    /** Builds refusals outside any stream. */
    public val frames: FrameFactory = newFrames()

    private fun newFrames() = FrameFactory(load = ::loadMessage, tickMillis = { control.now().toTick() })

    /** Attempts whose work goes on. */
    public val running: Int get() = works.values.count { it.job.isActive }

    internal fun loadMessage(): Load {
        val active = running
        return Load.newBuilder()
            .setRunning(minOf(active, capacity))
            .setWaiting(maxOf(0, active - capacity))
            .setCapacity(capacity)
            .build()
    }

    /** Starts the work of an admitted attempt. */
    internal fun start(request: ExecuteRequest, attempt: AttemptId): AttemptStream {
        val keeps = request.hasCall()
        val stream = AttemptStream(
            attempt = attempt,
            keepUntilExpiry = keeps,
            capacity = STREAM_CAPACITY,
            frames = newFrames(),
            createdAt = control.now(),
        )
        val job = traffic.launch(start = CoroutineStart.LAZY) { work(request, stream) }
        // A cancellation before the work begins would leave the stream open for ever.
        job.invokeOnCompletion { stream.refuse(RefusalReason.CANCELLED, notRun = false, detail = "stopped") }
        works[attempt] = Work(stream = stream, cancellable = request.hasGeneration(), job = job)
        job.start()
        return stream
    }

    private suspend fun work(request: ExecuteRequest, stream: AttemptStream) {
        val start = control.now()
        target.run(request, stream, this)
        durations.record(control.now() - start)
    }

    /** Asks the ledger whether the attempt may be handed over now. */
    internal suspend fun handOver(attempt: AttemptId): Boolean = control.run { now -> ledger.handOver(attempt, now) }

    /** Records that nothing of the attempt reached the target. */
    internal suspend fun handOverFailed(attempt: AttemptId): Boolean =
        control.run { now -> ledger.handOverFailed(attempt, now) }

    /** Records the end of the attempt's work. */
    internal suspend fun finished(attempt: AttemptId) {
        control.run { now -> ledger.finish(attempt, Unit, bytes = 0, now = now) }
    }

    /** The stream of an attempt, while it is kept. */
    public fun stream(attempt: AttemptId): AttemptStream? = works[attempt]?.stream

    /** Stops the work of a model attempt. A call to a plain service goes on: stopping it would not undo it. */
    internal fun stopWork(attempt: AttemptId) {
        works[attempt]?.takeIf { it.cancellable }?.job?.cancel()
    }

    /** Stops streams that nobody reads, and forgets finished ones. Called about once a second. */
    internal suspend fun sweep(keepAnswers: Duration) {
        val now = control.now()
        control.run { ledger.expire(it) }
        works.entries.forEach { (attempt, work) ->
            val idleSince = work.stream.idleSince() ?: return@forEach
            if (work.job.isActive) stopOrphan(attempt, work, idleSince, now)
            val limit = if (work.cancellable) FINISHED_LIMIT else keepAnswers
            if (!work.job.isActive && now - idleSince > limit) works.remove(attempt)
        }
    }

    private fun stopOrphan(attempt: AttemptId, work: Work, idleSince: Timestamp, now: Timestamp) {
        if (!work.cancellable || now - idleSince <= ORPHAN_LIMIT) return
        Event.ATTEMPT_ORPHANED.log("attempt=${attempt.value}")
        work.job.cancel()
    }

    /** Number of answers that are being produced, or that nobody has read to the end yet. */
    internal fun unread(): Int {
        val now = control.now()
        return works.values.count { it.job.isActive || (!it.stream.isTaken && it.stream.mayBeResumed(now)) }
    }
}

private fun AttemptStream.mayBeResumed(now: Timestamp): Boolean = idleSince()?.let { now - it < RESUME_LIMIT } ?: true
