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

/** Unacknowledged frames of a model stream. About 100 KB of tokens. */
private const val MAX_BUFFERED_FRAMES = 2_048

/** A model stream without a reader is cancelled after this time. An entry resumes within a second. */
private val ORPHAN_TIMEOUT: Duration = 10.seconds

/** A reader that lost its connection is expected to resume within this time. */
private val RESUME_TIMEOUT: Duration = 3.seconds

/** A finished model stream can be resumed for this long after its last reader disconnected. */
private val FINISHED_STREAM_RETENTION: Duration = 30.seconds

/**
 * @property target runs the work of an attempt and writes its frames.
 * @property workScope scope of the work; it outlives the calls that started it, so that answers can be resumed.
 */
public class AgentState(
    public val instance: InstanceId,
    public val incarnation: Incarnation,
    public val control: ControlThread,
    public val capacity: Int,
    private val target: TargetRunner,
    private val workScope: CoroutineScope,
    private val durations: WorkDurations = WorkDurations(),
) {
    private class Work(val stream: AttemptStream, val cancellable: Boolean, val job: Job)

    private val workByAttempt = ConcurrentHashMap<AttemptId, Work>()

    /** Owned by the control thread. */
    public val ledger: ExecutionLedger<Unit> = ExecutionLedger(incarnation)

    /** Revision of the current settings. */
    @Volatile public var settingsRevision: Long = 0

    /** Builds refusals that do not belong to a stream. */
    public val frames: FrameFactory = newFrames()

    private fun newFrames() = FrameFactory(load = ::loadMessage, tickMillis = { control.now().toTick() })

    /** Number of attempts whose work has not ended. */
    public val running: Int get() = workByAttempt.values.count { it.job.isActive }

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
        val retain = request.hasCall()
        val stream = AttemptStream(
            attempt = attempt,
            retainAcknowledged = retain,
            capacity = MAX_BUFFERED_FRAMES,
            frames = newFrames(),
            createdAt = control.now(),
        )
        val job = workScope.launch(start = CoroutineStart.LAZY) { work(request, stream) }
        // If the job is cancelled before it starts, nothing else closes the stream.
        job.invokeOnCompletion { stream.refuse(RefusalReason.CANCELLED, notRun = false, detail = "stopped") }
        workByAttempt[attempt] = Work(stream = stream, cancellable = request.hasGeneration(), job = job)
        job.start()
        return stream
    }

    private suspend fun work(request: ExecuteRequest, stream: AttemptStream) {
        val start = control.now()
        target.run(request, stream, this)
        durations.record(control.now() - start)
    }

    /** Returns whether the ledger permits the attempt to be handed over to the target now. */
    internal suspend fun handOver(attempt: AttemptId): Boolean = control.run { now -> ledger.handOver(attempt, now) }

    /** Records that the attempt did not reach the target. Returns whether it is now certain never to run. */
    internal suspend fun handOverFailed(attempt: AttemptId): Boolean =
        control.run { now -> ledger.handOverFailed(attempt, now) }

    /** Records the end of the attempt's work. */
    internal suspend fun finished(attempt: AttemptId) {
        control.run { now -> ledger.finish(attempt, Unit, bytes = 0, now = now) }
    }

    /** Returns the stream of an attempt, or null if it is unknown or has been removed. */
    public fun stream(attempt: AttemptId): AttemptStream? = workByAttempt[attempt]?.stream

    /** Stops the work of a model attempt. Service calls continue, since stopping a call would not undo its effects. */
    internal fun stopWork(attempt: AttemptId) {
        workByAttempt[attempt]?.takeIf { it.cancellable }?.job?.cancel()
    }

    /** Cancels model streams without a reader and removes expired streams. Called about once a second. */
    internal suspend fun sweep(answerRetention: Duration) {
        val now = control.now()
        control.run { ledger.expire(it) }
        workByAttempt.entries.forEach { (attempt, work) ->
            val idleSince = work.stream.idleSince() ?: return@forEach
            if (work.job.isActive) stopOrphan(attempt, work, idleSince, now)
            val retention = if (work.cancellable) FINISHED_STREAM_RETENTION else answerRetention
            if (!work.job.isActive && now - idleSince > retention) workByAttempt.remove(attempt)
        }
    }

    private fun stopOrphan(attempt: AttemptId, work: Work, idleSince: Timestamp, now: Timestamp) {
        if (!work.cancellable || now - idleSince <= ORPHAN_TIMEOUT) return
        Event.ATTEMPT_ORPHANED.log("attempt=${attempt.value}")
        work.job.cancel()
    }

    /** Number of answers that are in progress, or finished but not yet read completely and still resumable. */
    internal fun unreadAnswers(): Int {
        val now = control.now()
        return workByAttempt.values.count { it.job.isActive || (!it.stream.isFullyRead && it.stream.mayBeResumed(now)) }
    }
}

private fun AttemptStream.mayBeResumed(now: Timestamp): Boolean = idleSince()?.let { now - it < RESUME_TIMEOUT } ?: true
