/**
 * The buffered answer of one attempt.
 *
 * The work of the attempt appends frames. Any number of calls (the first one and those that resume it) read them by
 * position.
 */
package org.jujubelead.runtime.agent

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.stream.FrameBuffer
import org.jujubelead.core.stream.FrameRead
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Interval of heartbeats on an idle stream. A reader abandons a connection after 500 ms without a frame. */
public val HEARTBEAT_INTERVAL: Duration = 150.milliseconds

/**
 * @property retainAcknowledged true if acknowledged frames are retained for callers that repeat the request.
 */
public class AttemptStream(
    public val attempt: AttemptId,
    private val retainAcknowledged: Boolean,
    capacity: Int,
    private val frames: FrameFactory,
    createdAt: Timestamp,
) {
    private val lock = Any()
    private val buffer = FrameBuffer<Frame>(capacity)
    private val changes = MutableStateFlow(0L)
    private var readers = 0
    private var fullyRead = false

    // A call can end before it starts reading, so a stream is idle until its first reader arrives.
    private var idleSince: Timestamp = createdAt

    /** Appends a frame with the next sequence number. Suspends while the buffer is full. */
    public suspend fun append(fill: Frame.Builder.() -> Unit) {
        while (true) {
            val seen = changes.value
            val full = synchronized(lock) { buffer.isFull && !retainAcknowledged }
            if (!full) break
            changes.first { it != seen }
        }
        appendNow(fill)
    }

    /** Appends the end frame and closes the stream. */
    public fun end(reason: String) {
        val count = synchronized(lock) { buffer.nextSequence }
        appendNow { endBuilder.setFrames(count).setFinishReason(reason) }
        close()
    }

    /** Appends a refusal and closes the stream. */
    public fun refuse(reason: RefusalReason, notRun: Boolean, detail: String) {
        appendNow { refusalBuilder.setReason(reason).setNotRun(notRun).setDetail(detail) }
        close()
    }

    private fun appendNow(fill: Frame.Builder.() -> Unit) {
        synchronized(lock) {
            if (buffer.isClosed) return
            buffer.append(frames.frame(attempt, buffer.nextSequence, fill))
        }
        changes.value += 1
    }

    private fun close() {
        synchronized(lock) { buffer.close() }
        changes.value += 1
    }

    /** Whether the stream has been closed by an end frame or a refusal. */
    public val isClosed: Boolean get() = synchronized(lock) { buffer.isClosed }

    /** Releases the frames before [next], unless the stream retains acknowledged frames. */
    public fun acknowledge(next: Long) {
        if (retainAcknowledged) return
        synchronized(lock) { buffer.acknowledge(next) }
        changes.value += 1
    }

    /** Reads from position [from] to the end, emitting heartbeats while no frame is available. */
    public fun read(from: Long, now: () -> Timestamp): Flow<Frame> = flow {
        synchronized(lock) { readers += 1 }
        try {
            var sequence = from
            while (true) {
                when (val read = await(sequence)) {
                    is FrameRead.Available -> {
                        emit(read.frame)
                        sequence += 1
                    }

                    FrameRead.NotYet -> emit(frames.frame(attempt, sequence) { heartbeatBuilder })

                    FrameRead.Released -> {
                        emit(frames.refusal(attempt, RefusalReason.FRAMES_RELEASED, notRun = false, detail = ""))
                        return@flow
                    }

                    FrameRead.Closed -> {
                        synchronized(lock) { fullyRead = true }
                        return@flow
                    }
                }
            }
        } finally {
            synchronized(lock) {
                readers -= 1
                if (readers == 0) idleSince = now()
            }
        }
    }

    /** Whether a reader has read the answer to its end. */
    public val isFullyRead: Boolean get() = synchronized(lock) { fullyRead }

    /** Time since which the stream has had no reader; null while it has one. */
    public fun idleSince(): Timestamp? = synchronized(lock) { if (readers == 0) idleSince else null }

    private suspend fun await(sequence: Long): FrameRead<Frame> =
        withTimeoutOrNull(HEARTBEAT_INTERVAL) {
            while (true) {
                val seen = changes.value
                val read = synchronized(lock) { buffer.read(sequence) }
                if (read != FrameRead.NotYet) return@withTimeoutOrNull read
                changes.first { it != seen }
            }
            @Suppress("UNREACHABLE_CODE")
            FrameRead.NotYet
        } ?: FrameRead.NotYet
}
