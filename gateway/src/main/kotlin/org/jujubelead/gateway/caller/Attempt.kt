/**
 * One attempt of a request on one replica: builds the forwarded request, and judges the answer.
 *
 * An answer counts only with the replica's seal, the id of this request and a whole body. Anything else is not passed
 * on, and the connection is not used again.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.core.dispatch.AttemptOutcome
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.route.Workspace
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.AnswerReceiver
import org.jujubelead.gateway.net.Break
import org.jujubelead.gateway.net.HttpConnection
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.platform.wire.Headers
import kotlin.time.Duration

/** Status and headers of a replica's answer, as they are passed on. */
internal class AnswerHead(val status: HttpResponseStatus, val headers: HttpHeaders)

/** A whole answer of a replica. */
internal class WholeAnswer(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    val outcome: AttemptOutcome
    val label: String

    sealed interface Answered : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ANSWERED
        override val label: String get() = "answered"

        class Whole(val answer: WholeAnswer) : Answered

        data object StreamEnded : Answered
    }

    /** It is proved that the replica did not run the request. [arrived] is false when it was not even sent. */
    class NotRun(override val outcome: AttemptOutcome, override val label: String, val arrived: Boolean) : AttemptEnd

    /** The gateway ended it to go on with the stream at a replica that is not slow. */
    data object Moved : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ABANDONED
        override val label: String get() = "moved"
    }

    /** The replica may have run the request. [replicaAnswer] is the failure that it answered with, if it did. */
    class Lost(override val label: String, val replicaAnswer: WholeAnswer? = null) : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.FAILED
    }
}

/** @param resumesAfter last event that the caller has, when the attempt goes on with a stream. */
internal class Attempt(
    private val exchange: Exchange,
    val replica: Replica,
    private val request: InboundRequest,
    private val resumesAfter: Long?,
) : AnswerReceiver {
    val startedAt: Timestamp = ProcessClock.now()
    private var connection: HttpConnection? = null
    private var ended = false
    private var head: AnswerHead? = null
    private var notRun: AttemptEnd.NotRun? = null
    private var splitter: EventStreamSplitter? = null
    private val body: ByteBuf by lazy { Unpooled.buffer() }

    /** True once the replica has begun to answer. */
    val answering: Boolean get() = head != null

    /** Requests on the connection so far, this one included. */
    val connectionUse: Int? get() = connection?.requests

    val streamHead: AnswerHead get() = checkNotNull(head) { "no answer has begun" }

    fun send(to: HttpConnection, timeLeft: Duration, workspace: Workspace?) {
        connection = to
        to.send(forwarded(timeLeft, workspace), this)
    }

    fun cancel() {
        ended = true
        connection?.close()
    }

    fun reading(on: Boolean) {
        connection?.reading(on)
    }

    private fun forwarded(timeLeft: Duration, workspace: Workspace?): FullHttpRequest {
        val out =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, request.body.retainedDuplicate())
        val headers = out.headers()
        val perConnection = connectionHeaders(request.headers)
        for ((name, value) in request.headers) {
            val lower = name.lowercase()
            if (lower !in perConnection && lower !in SET_BY_SYSTEM) headers.add(name, value)
        }
        if (request.body.isReadable || request.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
            request.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        ) {
            headers[HttpHeaderNames.CONTENT_LENGTH] = request.body.readableBytes()
        }
        headers[Headers.DEADLINE] = timeLeft.inWholeMilliseconds.coerceAtLeast(1)
        headers[Headers.EXPECTED_REPLICA] = replica.id.value
        if (workspace != null) headers[Headers.WORKSPACE] = workspace.id.value
        if (resumesAfter != null) headers[Headers.LAST_EVENT_ID] = resumesAfter
        return out
    }

    override fun onHead(response: HttpResponse) {
        val status = response.status()
        val headers = response.headers()
        val echoed = headers.get(Headers.REQUEST_ID)
        val refused =
            headers.contains(Headers.NOT_EXECUTED) || status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()
        val foreign = echoed != request.id?.value && !(refused && echoed == null)
        val sealed = headers.contains(Headers.REPLICA_SEAL)
        when {
            foreign -> return lose("foreign-answer")
            refused -> notRun = refusal(status)
            !sealed -> return lose("unsealed-answer")
            headers.contains(HttpHeaderNames.CONTENT_ENCODING) -> return lose("encoded-answer")
        }
        val passed = DefaultHttpHeaders()
        val perConnection = connectionHeaders(headers)
        for ((name, value) in headers) if (name.lowercase() !in perConnection) passed.add(name, value)
        head = AnswerHead(status, passed)
        val streamed = headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(Headers.EVENT_STREAM)
        if (notRun == null && status.code() == HttpResponseStatus.OK.code() && streamed) {
            splitter =
                EventStreamSplitter { id, bytes -> if (ended) bytes.release() else exchange.event(this, id, bytes) }
        }
    }

    private fun refusal(status: HttpResponseStatus): AttemptEnd.NotRun =
        if (status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            AttemptEnd.NotRun(AttemptOutcome.MISPLACED, "misplaced", arrived = true)
        } else {
            AttemptEnd.NotRun(AttemptOutcome.FULL, "replica-full", arrived = true)
        }

    override fun onContent(bytes: ByteBuf) {
        if (ended) return
        val events = splitter
        if (events != null) {
            events.feed(bytes)
        } else if (body.readableBytes() + bytes.readableBytes() > MOST_BUFFERED) {
            lose("answer-too-large")
        } else {
            body.writeBytes(bytes)
        }
    }

    override fun onComplete() {
        val events = splitter
        val answer = head
        val refused = notRun
        when {
            refused != null -> end(refused)

            answer == null -> end(AttemptEnd.Lost("no-answer"))

            events != null -> end(if (events.partial) AttemptEnd.Lost("event-cut") else AttemptEnd.Answered.StreamEnded)

            else -> {
                val whole = WholeAnswer(answer.status, answer.headers, body)
                val failed = answer.status.code() >= FIRST_SERVER_ERROR
                end(
                    if (failed) {
                        AttemptEnd.Lost(
                            "status-${answer.status.code()}",
                            whole,
                        )
                    } else {
                        AttemptEnd.Answered.Whole(whole)
                    },
                )
            }
        }
    }

    override fun onBroken(reason: Break) {
        val refused = notRun
        end(
            when {
                refused != null -> refused
                reason == Break.NOT_WRITTEN -> AttemptEnd.NotRun(AttemptOutcome.FAILED, "not-written", arrived = false)
                else -> AttemptEnd.Lost(reason.name.lowercase().replace('_', '-'))
            },
        )
    }

    private fun lose(label: String) {
        connection?.close()
        end(AttemptEnd.Lost(label))
    }

    private fun end(how: AttemptEnd) {
        if (ended) return
        ended = true
        exchange.attemptEnded(this, how)
    }

    private companion object {
        /** Largest answer that is not a stream, in bytes. */
        const val MOST_BUFFERED = 8 * 1024 * 1024
        const val FIRST_SERVER_ERROR = 500

        /** Headers that concern one connection only. */
        val PER_CONNECTION = setOf(
            "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
            "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
        )

        /** Headers that the system sets, whatever the caller sent. */
        val SET_BY_SYSTEM = setOf(
            HttpHeaderNames.AUTHORIZATION.toString(),
            Headers.WORKSPACE.lowercase(),
            Headers.EXPECTED_REPLICA.lowercase(),
            Headers.DEADLINE.lowercase(),
            Headers.URGENCY.lowercase(),
        )

        fun connectionHeaders(headers: HttpHeaders): Set<String> {
            val named = headers.getAll(HttpHeaderNames.CONNECTION)
            if (named.isEmpty()) return PER_CONNECTION
            return PER_CONNECTION + named.flatMap { it.split(',') }.map { it.trim().lowercase() }
        }
    }
}
