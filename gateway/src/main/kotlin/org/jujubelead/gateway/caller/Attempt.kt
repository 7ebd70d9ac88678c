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
import org.jujubelead.gateway.net.ResponseHandler
import org.jujubelead.gateway.net.TransportFailure
import org.jujubelead.gateway.net.HttpConnection
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.platform.wire.Headers
import kotlin.time.Duration

/** Status and headers of a replica's answer, as they are passed on. */
internal class ResponseHead(val status: HttpResponseStatus, val headers: HttpHeaders)

/** A whole answer of a replica. */
internal class BufferedResponse(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)

/** How an attempt ended. */
internal sealed interface AttemptResult {
    val outcome: AttemptOutcome
    val label: String

    sealed interface Answered : AttemptResult {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ANSWERED
        override val label: String get() = "answered"

        class Buffered(val response: BufferedResponse) : Answered

        data object StreamCompleted : Answered
    }

    /** It is proved that the replica did not run the request. [reachedReplica] is false when it was not even sent. */
    class NotExecuted(override val outcome: AttemptOutcome, override val label: String, val reachedReplica: Boolean) : AttemptResult

    /** The gateway ended it to go on with the stream at a replica that is not slow. */
    data object Moved : AttemptResult {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ABANDONED
        override val label: String get() = "moved"
    }

    /** The replica may have run the request. [errorResponse] is the failure that it answered with, if it did. */
    class Failed(override val label: String, val errorResponse: BufferedResponse? = null) : AttemptResult {
        override val outcome: AttemptOutcome get() = AttemptOutcome.FAILED
    }
}

/** @param resumesAfter last event that the caller has, when the attempt goes on with a stream. */
internal class Attempt(
    private val exchange: Exchange,
    val replica: Replica,
    private val request: InboundRequest,
    private val resumesAfter: Long?,
) : ResponseHandler {
    val startedAt: Timestamp = ProcessClock.now()
    private var connection: HttpConnection? = null
    private var ended = false
    private var head: ResponseHead? = null
    private var notExecuted: AttemptResult.NotExecuted? = null
    private var splitter: EventStreamSplitter? = null
    private val body: ByteBuf by lazy { Unpooled.buffer() }

    /** True once the replica has begun to answer. */
    val responseStarted: Boolean get() = head != null

    /** Requests on the connection so far, this one included. */
    val connectionRequestCount: Int? get() = connection?.requests

    val streamHead: ResponseHead get() = checkNotNull(head) { "no answer has begun" }

    fun send(to: HttpConnection, timeLeft: Duration, workspace: Workspace?) {
        connection = to
        to.send(buildForwardedRequest(timeLeft, workspace), this)
    }

    fun cancel() {
        ended = true
        connection?.close()
    }

    fun setAutoRead(on: Boolean) {
        connection?.setAutoRead(on)
    }

    private fun buildForwardedRequest(timeLeft: Duration, workspace: Workspace?): FullHttpRequest {
        val out =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, request.body.retainedDuplicate())
        val headers = out.headers()
        val hopByHop = hopByHopHeaders(request.headers)
        for ((name, value) in request.headers) {
            val lower = name.lowercase()
            if (lower !in hopByHop && lower !in GATEWAY_CONTROLLED) headers.add(name, value)
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
        val idMismatch = echoed != request.id?.value && !(refused && echoed == null)
        val sealed = headers.contains(Headers.REPLICA_SEAL)
        when {
            idMismatch -> return failAndClose("foreign-answer")
            refused -> notExecuted = refusalResult(status)
            !sealed -> return failAndClose("unsealed-answer")
            headers.contains(HttpHeaderNames.CONTENT_ENCODING) -> return failAndClose("encoded-answer")
        }
        val forwardedHeaders = DefaultHttpHeaders()
        val hopByHop = hopByHopHeaders(headers)
        for ((name, value) in headers) if (name.lowercase() !in hopByHop) forwardedHeaders.add(name, value)
        head = ResponseHead(status, forwardedHeaders)
        val streamed = headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(Headers.EVENT_STREAM)
        if (notExecuted == null && status.code() == HttpResponseStatus.OK.code() && streamed) {
            splitter =
                EventStreamSplitter { id, bytes -> if (ended) bytes.release() else exchange.onEvent(this, id, bytes) }
        }
    }

    private fun refusalResult(status: HttpResponseStatus): AttemptResult.NotExecuted =
        if (status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            AttemptResult.NotExecuted(AttemptOutcome.MISPLACED, "misplaced", reachedReplica = true)
        } else {
            AttemptResult.NotExecuted(AttemptOutcome.FULL, "replica-full", reachedReplica = true)
        }

    override fun onContent(bytes: ByteBuf) {
        if (ended) return
        val events = splitter
        if (events != null) {
            events.append(bytes)
        } else if (body.readableBytes() + bytes.readableBytes() > MAX_BUFFERED_BYTES) {
            failAndClose("answer-too-large")
        } else {
            body.writeBytes(bytes)
        }
    }

    override fun onComplete() {
        val events = splitter
        val responseHead = head
        val refused = notExecuted
        when {
            refused != null -> finish(refused)

            responseHead == null -> finish(AttemptResult.Failed("no-answer"))

            events != null -> finish(if (events.hasPartialEvent) AttemptResult.Failed("event-cut") else AttemptResult.Answered.StreamCompleted)

            else -> {
                val response = BufferedResponse(responseHead.status, responseHead.headers, body)
                val failed = responseHead.status.code() >= MIN_SERVER_ERROR_STATUS
                finish(
                    if (failed) {
                        AttemptResult.Failed(
                            "status-${responseHead.status.code()}",
                            response,
                        )
                    } else {
                        AttemptResult.Answered.Buffered(response)
                    },
                )
            }
        }
    }

    override fun onTransportFailure(reason: TransportFailure) {
        val refused = notExecuted
        finish(
            when {
                refused != null -> refused
                reason == TransportFailure.NOT_WRITTEN -> AttemptResult.NotExecuted(AttemptOutcome.FAILED, "not-written", reachedReplica = false)
                else -> AttemptResult.Failed(reason.name.lowercase().replace('_', '-'))
            },
        )
    }

    private fun failAndClose(label: String) {
        connection?.close()
        finish(AttemptResult.Failed(label))
    }

    private fun finish(result: AttemptResult) {
        if (ended) return
        ended = true
        exchange.onAttemptEnded(this, result)
    }

    private companion object {
        /** Largest answer that is not a stream, in bytes. */
        const val MAX_BUFFERED_BYTES = 8 * 1024 * 1024
        const val MIN_SERVER_ERROR_STATUS = 500

        /** Headers that concern one connection only. */
        val HOP_BY_HOP = setOf(
            "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
            "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
        )

        /** Headers that the system sets, whatever the caller sent. */
        val GATEWAY_CONTROLLED = setOf(
            HttpHeaderNames.AUTHORIZATION.toString(),
            Headers.WORKSPACE.lowercase(),
            Headers.EXPECTED_REPLICA.lowercase(),
            Headers.DEADLINE.lowercase(),
            Headers.URGENCY.lowercase(),
        )

        fun hopByHopHeaders(headers: HttpHeaders): Set<String> {
            val named = headers.getAll(HttpHeaderNames.CONNECTION)
            if (named.isEmpty()) return HOP_BY_HOP
            return HOP_BY_HOP + named.flatMap { it.split(',') }.map { it.trim().lowercase() }
        }
    }
}
