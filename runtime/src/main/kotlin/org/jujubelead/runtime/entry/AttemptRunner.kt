/**
 * Runs one attempt on one agent and delivers its frames in order.
 *
 * The agent sends heartbeats while it has nothing to send. Silence means that the connection or the agent is gone: the
 * runner
 * opens a new connection and resumes the attempt at the first frame it does not have.
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

/** Ten token gaps of 47 ms: longer silence is a broken path or agent. */
private val SILENCE_LIMIT: Duration = 500.milliseconds

/** The first frame may wait for a new connection and its TLS handshake. */
private val FIRST_FRAME_LIMIT: Duration = 1.seconds

/** Resumes in a row without a new frame after which the attempt is given up. */
private const val MAX_RESUMES = 3

/** Frames between two acknowledgements; the agent keeps 2,048. */
private const val ACKNOWLEDGE_EVERY = 256L

/** Frames read ahead from a connection. */
private const val READ_AHEAD = 16

private const val CANCEL_ATTEMPTS = 3
private const val CANCEL_LIMIT_MILLIS = 700L

/** @property observe is called with every frame, also heartbeats, for load and ticks. */
public class AttemptRunner(
    private val channels: TargetChannels,
    private val observe: (Target, Frame) -> Unit,
) {
    /** One attempt in progress. */
    private class Progress(var assembler: FrameAssembler, var acknowledged: Long = 0, var started: Boolean = false)

    private sealed interface StreamEnd {
        data class Ended(val end: AttemptEnd) : StreamEnd

        data class Silent(val detail: String) : StreamEnd

        data class NotConnected(val detail: String) : StreamEnd
    }

    /** Runs [request] on [target]; [deliver] gets each content frame once and in order. */
    public suspend fun run(target: Target, request: ExecuteRequest, deliver: suspend (Frame) -> Unit): AttemptEnd {
        val progress = Progress(FrameAssembler(AttemptId(request.attemptId)))
        val channel = channels.get(target.key.instance, target.address())
        val first = collect(target, channel, channel.stub.execute(request), progress, deliver)
        return follow(target, channel, first, progress, deliver)
    }

    /** Takes up an attempt that an earlier request started, from its first frame. */
    public suspend fun rejoin(target: Target, attempt: AttemptId, deliver: suspend (Frame) -> Unit): AttemptEnd {
        val progress = Progress(FrameAssembler(attempt), started = true)
        val channel = channels.get(target.key.instance, target.address())
        val first = collect(target, channel, resume(target, channel, progress), progress, deliver)
        return follow(target, channel, first, progress, deliver)
    }

    private suspend fun follow(
        target: Target,
        firstChannel: TargetChannel,
        first: StreamEnd,
        progress: Progress,
        deliver: suspend (Frame) -> Unit,
    ): AttemptEnd {
        var channel = firstChannel
        var end = first
        var resumes = 0
        while (true) {
            when (val e = end) {
                is StreamEnd.Ended -> return e.end

                is StreamEnd.NotConnected ->
                    return if (progress.started) AttemptEnd.Lost(e.detail) else AttemptEnd.Unreachable(e.detail)

                is StreamEnd.Silent -> {
                    progress.started = true
                    if (resumes == MAX_RESUMES) return AttemptEnd.Lost(e.detail)
                    Event.TARGET_SILENT.log("target=${target.key.instance} detail=\"${e.detail}\"")
                    resumes += 1
                    val position = progress.assembler.next
                    channel = channels.replace(target.key.instance, channel)
                    end = collect(target, channel, resume(target, channel, progress), progress, deliver)
                    if (progress.assembler.next > position) resumes = 0
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

    private suspend fun collect(
        target: Target,
        channel: TargetChannel,
        frames: Flow<Frame>,
        progress: Progress,
        deliver: suspend (Frame) -> Unit,
    ): StreamEnd = try {
        coroutineScope {
            val received = frames.buffer(READ_AHEAD).produceIn(this)
            readAll(target, channel, received, progress, deliver).also { received.cancel() }
        }
    } catch (e: StatusException) {
        when (e.status.code) {
            // Every call waits for a connection first, so a refused connection proves that nothing was sent.
            Status.Code.UNAVAILABLE ->
                if (e.isConnectFailure()) {
                    StreamEnd.NotConnected(
                        e.message.orEmpty(),
                    )
                } else {
                    StreamEnd.Silent(e.message.orEmpty())
                }

            Status.Code.INVALID_ARGUMENT ->
                StreamEnd.Ended(
                    AttemptEnd.Refused(RefusalReason.MALFORMED, notRun = true, detail = e.message.orEmpty()),
                )

            else -> StreamEnd.Silent(e.message.orEmpty())
        }
    }

    private suspend fun CoroutineScope.readAll(
        target: Target,
        channel: TargetChannel,
        received: ReceiveChannel<Frame>,
        progress: Progress,
        deliver: suspend (Frame) -> Unit,
    ): StreamEnd {
        var limit = FIRST_FRAME_LIMIT
        while (true) {
            val result = withTimeoutOrNull(limit) { received.receiveCatching() }
                ?: return StreamEnd.Silent("no frame within $limit")
            val frame = result.getOrNull()
                ?: return result.exceptionOrNull()?.let { throw it }
                    ?: StreamEnd.Silent("the stream ended without end frame")
            limit = SILENCE_LIMIT
            progress.started = true
            observe(target, frame)
            handle(frame, progress, deliver)?.let { end ->
                if (end is StreamEnd.Ended) acknowledge(channel, progress)
                return end
            }
            if (progress.assembler.next - progress.acknowledged >= ACKNOWLEDGE_EVERY) acknowledge(channel, progress)
        }
    }

    /** Handles one frame; null while the stream goes on. */
    private suspend fun handle(frame: Frame, progress: Progress, deliver: suspend (Frame) -> Unit): StreamEnd? {
        val attempt = AttemptId(frame.attemptId)
        if (frame.contentCase == Frame.ContentCase.HEARTBEAT) return null
        if (frame.contentCase == Frame.ContentCase.REFUSAL) {
            if (attempt != progress.assembler.attempt) return null
            val refusal = frame.refusal
            return StreamEnd.Ended(AttemptEnd.Refused(refusal.reason, refusal.notRun, refusal.detail))
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

            is FrameVerdict.Gap -> StreamEnd.Silent("frame ${verdict.expected} is missing")

            FrameVerdict.Complete -> StreamEnd.Ended(AttemptEnd.Complete(frame.end.finishReason))
        }
    }

    private fun CoroutineScope.acknowledge(channel: TargetChannel, progress: Progress) {
        progress.acknowledged = progress.assembler.next
        val request = AcknowledgeRequest.newBuilder()
            .setAttemptId(progress.assembler.attempt.value)
            .setNextSequence(progress.assembler.next)
            .build()
        launch {
            // A lost acknowledgement only keeps frames longer.
            try {
                channel.stub.withDeadlineAfter(CANCEL_LIMIT_MILLIS, TimeUnit.MILLISECONDS).acknowledge(request)
            } catch (_: StatusException) {
            }
        }
    }

    /** Cancels an attempt and asks what became of it. Tries new connections; null when no agent answered. */
    public suspend fun cancel(target: Target, attempt: AttemptId, tick: Long): AttemptState? {
        val request = CancelRequest.newBuilder()
            .setAttemptId(attempt.value)
            .setIncarnation(target.key.incarnation.value)
            .setTickMs(tick)
            .build()
        var channel = channels.get(target.key.instance, target.address())
        repeat(CANCEL_ATTEMPTS) {
            try {
                return channel.stub.withDeadlineAfter(CANCEL_LIMIT_MILLIS, TimeUnit.MILLISECONDS).cancel(request).state
            } catch (_: StatusException) {
                channel = channels.replace(target.key.instance, channel)
            }
        }
        return null
    }
}

/** Address of the target's agent. */
internal fun Target.address(): Address = Address(host = host, port = port)
