/**
 * Runs one attempt on one agent and delivers its frames in order.
 *
 * The agent sends heartbeats on an idle stream. If no frame arrives within the timeout, the connection or the agent has
 * failed: the runner opens a new connection and resumes the attempt at the first missing frame.
 */
package org.jujubelead.runtime.entry

import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.membership.Target
import org.jujubelead.core.stream.FrameAssembler
import org.jujubelead.core.stream.FrameVerdict
import org.jujubelead.protocol.AcknowledgeRequest
import org.jujubelead.protocol.AttemptState
import org.jujubelead.protocol.CancelRequest
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.protocol.ResumeRequest
import org.jujubelead.runtime.rpc.Address
import org.jujubelead.runtime.rpc.isConnectFailure
import org.jujubelead.runtime.telemetry.Event
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** About ten token intervals of 47 ms. A longer gap between frames indicates a failed connection or agent. */
private val FRAME_TIMEOUT: Duration = 500.milliseconds

/** Longer than [FRAME_TIMEOUT], because the first frame may wait for a new connection and its TLS handshake. */
private val FIRST_FRAME_TIMEOUT: Duration = 1.seconds

/** Consecutive resumes without a new frame after which the attempt is reported as lost. */
private const val MAX_RESUMES = 3

/** Frames between two acknowledgements. The agent buffers 2,048 unacknowledged frames. */
private const val ACK_INTERVAL = 256L

/** Received frames that are buffered before they are handled. */
private const val RECEIVE_BUFFER_FRAMES = 16

private const val MAX_CANCEL_ATTEMPTS = 3
private const val CANCEL_TIMEOUT_MS = 700L

/**
 * Runs attempts on agents.
 *
 * @property observe called with every frame, including heartbeats, to read its load report and tick.
 */
public class AttemptRunner(
    private val channels: TargetChannels,
    private val observe: (Target, Frame) -> Unit,
) {
    /** Progress of one attempt. [started] is true once the attempt may have reached the agent. */
    private class Progress(var assembler: FrameAssembler, var acknowledged: Long = 0, var started: Boolean = false)

    private sealed interface StreamResult {
        data class Finished(val result: AttemptResult) : StreamResult

        data class Interrupted(val detail: String) : StreamResult

        data class NotConnected(val detail: String) : StreamResult
    }

    /** Runs [request] on [target]. Calls [deliver] exactly once per content frame, in order. */
    public suspend fun run(target: Target, request: ExecuteRequest, deliver: suspend (Frame) -> Unit): AttemptResult {
        val progress = Progress(FrameAssembler(AttemptId(request.attemptId)))
        val channel = channels.get(target.key.instance, target.address())
        val first = receive(target, channel, channel.stub.execute(request), progress, deliver)
        return resumeUntilFinished(target, channel, first, progress, deliver)
    }

    /** Reads the answer of an attempt that an earlier request started, from its first frame. */
    public suspend fun reattach(target: Target, attempt: AttemptId, deliver: suspend (Frame) -> Unit): AttemptResult {
        val progress = Progress(FrameAssembler(attempt), started = true)
        val channel = channels.get(target.key.instance, target.address())
        val first = receive(target, channel, resume(target, channel, progress), progress, deliver)
        return resumeUntilFinished(target, channel, first, progress, deliver)
    }

    private suspend fun resumeUntilFinished(
        target: Target,
        firstChannel: TargetChannel,
        first: StreamResult,
        progress: Progress,
        deliver: suspend (Frame) -> Unit,
    ): AttemptResult {
        var channel = firstChannel
        var end = first
        var resumeCount = 0
        while (true) {
            when (val e = end) {
                is StreamResult.Finished -> return e.result

                is StreamResult.NotConnected ->
                    return if (progress.started) AttemptResult.Lost(e.detail) else AttemptResult.Unreachable(e.detail)

                is StreamResult.Interrupted -> {
                    progress.started = true
                    if (resumeCount == MAX_RESUMES) return AttemptResult.Lost(e.detail)
                    Event.TARGET_SILENT.log("target=${target.key.instance} detail=\"${e.detail}\"")
                    resumeCount += 1
                    val previousNext = progress.assembler.next
                    channel = channels.replace(target.key.instance, channel)
                    end = receive(target, channel, resume(target, channel, progress), progress, deliver)
                    if (progress.assembler.next > previousNext) resumeCount = 0
                }
            }
        }
    }

    private fun resume(target: Target, channel: TargetChannel, progress: Progress): Flow<Frame> {
        val request = ResumeRequest.newBuilder()
            .setAttemptId(progress.assembler.attempt.value)
            .setIncarnation(target.key.incarnation.value)
            .setFromSequence(progress.assembler.next)
            .build()
        return channel.stub.resume(request)
    }

    private suspend fun receive(
        target: Target,
        channel: TargetChannel,
        frames: Flow<Frame>,
        progress: Progress,
        deliver: suspend (Frame) -> Unit,
    ): StreamResult = try {
        coroutineScope {
            val received = frames.buffer(RECEIVE_BUFFER_FRAMES).produceIn(this)
            receiveFrames(target, channel, received, progress, deliver).also { received.cancel() }
        }
    } catch (e: StatusException) {
        when (e.status.code) {
            // A call is sent only after its connection is open, so a failed connect proves that nothing was sent.
            Status.Code.UNAVAILABLE ->
                if (e.isConnectFailure()) {
                    StreamResult.NotConnected(e.message.orEmpty())
                } else {
                    StreamResult.Interrupted(e.message.orEmpty())
                }

            Status.Code.INVALID_ARGUMENT ->
                StreamResult.Finished(
                    AttemptResult.Refused(RefusalReason.MALFORMED, notRun = true, detail = e.message.orEmpty()),
                )

            else -> StreamResult.Interrupted(e.message.orEmpty())
        }
    }

    private suspend fun CoroutineScope.receiveFrames(
        target: Target,
        channel: TargetChannel,
        received: ReceiveChannel<Frame>,
        progress: Progress,
        deliver: suspend (Frame) -> Unit,
    ): StreamResult {
        var timeout = FIRST_FRAME_TIMEOUT
        while (true) {
            val result = withTimeoutOrNull(timeout) { received.receiveCatching() }
                ?: return StreamResult.Interrupted("no frame within $timeout")
            val frame = result.getOrNull()
                ?: return result.exceptionOrNull()?.let { throw it }
                    ?: StreamResult.Interrupted("the stream ended without end frame")
            timeout = FRAME_TIMEOUT
            progress.started = true
            observe(target, frame)
            handleFrame(frame, progress, deliver)?.let { end ->
                if (end is StreamResult.Finished) acknowledge(channel, progress)
                return end
            }
            if (progress.assembler.next - progress.acknowledged >= ACK_INTERVAL) acknowledge(channel, progress)
        }
    }

    /** Handles one frame. Returns null while the stream continues. */
    private suspend fun handleFrame(frame: Frame, progress: Progress, deliver: suspend (Frame) -> Unit): StreamResult? {
        val attempt = AttemptId(frame.attemptId)
        if (frame.contentCase == Frame.ContentCase.HEARTBEAT) return null
        if (frame.contentCase == Frame.ContentCase.REFUSAL) {
            if (attempt != progress.assembler.attempt) return null
            val refusal = frame.refusal
            return StreamResult.Finished(AttemptResult.Refused(refusal.reason, refusal.notRun, refusal.detail))
        }
        val (next, verdict) = if (frame.contentCase == Frame.ContentCase.END) {
            progress.assembler.acceptEnd(attempt, frame.end.frames)
        } else {
            progress.assembler.accept(attempt, frame.sequence)
        }
        progress.assembler = next
        return when (verdict) {
            FrameVerdict.Deliver -> {
                deliver(frame)
                null
            }

            is FrameVerdict.Drop -> null

            is FrameVerdict.Gap -> StreamResult.Interrupted("frame ${verdict.expected} is missing")

            FrameVerdict.Complete -> StreamResult.Finished(AttemptResult.Complete(frame.end.finishReason))
        }
    }

    private fun CoroutineScope.acknowledge(channel: TargetChannel, progress: Progress) {
        progress.acknowledged = progress.assembler.next
        val request = AcknowledgeRequest.newBuilder()
            .setAttemptId(progress.assembler.attempt.value)
            .setNextSequence(progress.assembler.next)
            .build()
        launch {
            // If the acknowledgement is lost, the agent only keeps the frames longer.
            try {
                channel.stub.withDeadlineAfter(CANCEL_TIMEOUT_MS, TimeUnit.MILLISECONDS).acknowledge(request)
            } catch (_: StatusException) {
            }
        }
    }

    /** Cancels an attempt and returns its state. Retries on new connections; null if the agent did not answer. */
    public suspend fun cancel(target: Target, attempt: AttemptId, tick: Long): AttemptState? {
        val request = CancelRequest.newBuilder()
            .setAttemptId(attempt.value)
            .setIncarnation(target.key.incarnation.value)
            .setTickMs(tick)
            .build()
        var channel = channels.get(target.key.instance, target.address())
        repeat(MAX_CANCEL_ATTEMPTS) {
            try {
                return channel.stub.withDeadlineAfter(CANCEL_TIMEOUT_MS, TimeUnit.MILLISECONDS).cancel(request).state
            } catch (_: StatusException) {
                channel = channels.replace(target.key.instance, channel)
            }
        }
        return null
    }
}

/** Address of the target's agent. */
internal fun Target.address(): Address = Address(host = host, port = port)
