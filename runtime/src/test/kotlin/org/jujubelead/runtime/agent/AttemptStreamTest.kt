package org.jujubelead.runtime.agent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.flow.filterNot
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Load
import org.jujubelead.protocol.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

private val CREATED = Timestamp(5)
private val LEFT = Timestamp(9)
private val LIMIT = 5.seconds

class AttemptStreamTest {
    private fun stream(capacity: Int = 8, retain: Boolean = false) = AttemptStream(
        attempt = AttemptId("a"),
        retainAcknowledged = retain,
        capacity = capacity,
        frames = FrameFactory(load = Load::getDefaultInstance, tickMillis = { 0 }),
        createdAt = CREATED,
    )

    private suspend fun AttemptStream.token(position: Int) = append { tokenBuilder.setPosition(position) }

    private fun AttemptStream.content(from: Long) =
        read(from) { LEFT }.filterNot { it.contentCase == Frame.ContentCase.HEARTBEAT }

    private fun test(block: suspend CoroutineScope.() -> Unit) =
        runBlocking { withTimeout(LIMIT) { block() } }

    /** Guards against duplicate or missing tokens when a stream is resumed on another connection. */
    @Test
    fun `a second reader resumes by position after the first one has disconnected`() = test {
        val stream = stream()
        repeat(3) { stream.token(it) }
        val first = stream.content(from = 0).take(2).toList()
        stream.token(3)
        stream.end("stop")
        val rest = stream.content(from = 2).toList()
        expectThat((first + rest).map { it.sequence }).isEqualTo(listOf(0L, 1, 2, 3, 4))
        expectThat((first + rest).dropLast(1).map { it.token.position }).isEqualTo(listOf(0, 1, 2, 3))
        expectThat(rest.last().end.frames).isEqualTo(4)
    }

    /** Guards against unbounded memory use with a slow reader, and against a writer that is never resumed. */
    @Test
    fun `a full buffer suspends the writer until an acknowledgement`() = test {
        val stream = stream(capacity = 2)
        repeat(2) { stream.token(it) }
        val writer = launch(start = CoroutineStart.UNDISPATCHED) { stream.token(2) }
        stream.content(from = 0).take(2).toList()
        yield()
        expectThat(writer.isActive).isTrue()
        stream.acknowledge(1)
        writer.join()
        expectThat(stream.content(from = 2).first().token.position).isEqualTo(2)
    }

    /** Guards against a truncated answer when a reader starts at frames that were already released. */
    @Test
    fun `a read of released frames is refused`() = test {
        val stream = stream()
        repeat(2) { stream.token(it) }
        stream.acknowledge(2)
        val frames = stream.content(from = 0).toList()
        expectThat(frames).hasSize(1)
        expectThat(frames.single().refusal.reason).isEqualTo(RefusalReason.FRAMES_RELEASED)
        expectThat(frames.single().refusal.notRun).isFalse()
        expectThat(stream.isFullyRead).isFalse()
    }

    /** Guards against the loss of a service response that a caller requests again with the same idempotency key. */
    @Test
    fun `a retained answer stays complete after acknowledgement and does not block its writer`() = test {
        val stream = stream(capacity = 1, retain = true)
        repeat(3) { stream.token(it) }
        stream.end("complete")
        stream.acknowledge(4)
        expectThat(stream.content(from = 0).toList()).hasSize(4)
    }

    /** Guards against frames after the end frame, which a reader would treat as part of the answer. */
    @Test
    fun `an end frame closes the stream`() = test {
        val stream = stream()
        stream.end("stop")
        stream.token(0)
        stream.refuse(RefusalReason.CANCELLED, notRun = false, detail = "")
        expectThat(stream.isClosed).isTrue()
        expectThat(stream.content(from = 0).toList().map { it.contentCase }).isEqualTo(listOf(Frame.ContentCase.END))
    }

    /** Guards against an end frame after a refusal, which would mark an incomplete answer as complete. */
    @Test
    fun `a refusal closes the stream`() = test {
        val stream = stream()
        stream.token(0)
        stream.refuse(RefusalReason.TARGET_FAILED, notRun = false, detail = "broken")
        stream.end("stop")
        expectThat(stream.isClosed).isTrue()
        expectThat(stream.content(from = 0).toList().map { it.contentCase })
            .isEqualTo(listOf(Frame.ContentCase.TOKEN, Frame.ContentCase.REFUSAL))
    }

    /** Guards against streams that are never removed because their caller disconnected before the first read. */
    @Test
    fun `a stream without readers is idle from its creation`() = test {
        val stream = stream()
        expectThat(stream.idleSince()).isEqualTo(CREATED)
        stream.token(0)
        stream.read(from = 0, now = { LEFT }).take(1).collect { expectThat(stream.idleSince()).isNull() }
        expectThat(stream.idleSince()).isEqualTo(LEFT)
    }

    /** Guards against a drain that stops the process before the answer has been read completely. */
    @Test
    fun `a stream is fully read only after its end was read`() = test {
        val stream = stream()
        stream.token(0)
        stream.end("stop")
        stream.content(from = 0).take(1).toList()
        expectThat(stream.isFullyRead).isFalse()
        stream.content(from = 1).toList()
        expectThat(stream.isFullyRead).isTrue()
    }

    /** Guards against an idle stream that its reader mistakes for a failed connection. */
    @Test
    fun `a stream without new frames sends heartbeats`() = test {
        val frame = stream().read(from = 0, now = { LEFT }).first()
        expectThat(frame.contentCase).isEqualTo(Frame.ContentCase.HEARTBEAT)
    }
}
