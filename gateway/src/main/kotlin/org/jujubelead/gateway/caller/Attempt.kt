/**
 * Forwards a request to one replica and validates the response.
 *
 * A response is accepted only if it has the replica's seal and the id of the request, and is complete. Any other
 * response is dropped and its connection closed.
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
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.core.dispatch.AttemptOutcome
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.route.Workspace
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.HttpConnection
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.ResponseHandler
import org.jujubelead.gateway.net.TransportFailure
import org.jujubelead.platform.wire.Headers
import org.jujubelead.platform.wire.decodeLeaving
import org.jujubelead.platform.wire.decodeRequestLimit
import kotlin.time.Duration

/** Status and headers of a replica's response without hop-by-hop headers. */
internal class ResponseHead(val status: HttpResponseStatus, val headers: HttpHeaders)

/** Complete response of a replica. */
internal class BufferedResponse(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    val outcome: AttemptOutcome
    val label: String

    sealed interface Answered : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ANSWERED
        override val label: String get() = "answered"

        class Buffered(val response: BufferedResponse) : Answered

        data object StreamEnded : Answered
    }

    /**
     * The replica certainly did not execute the request. [reachedReplica] is false if the request was not even sent.
     */
    class NotExecuted(
        override val outcome: AttemptOutcome,
        override val label: String,
        val reachedReplica: Boolean,
    ) : AttemptEnd {
        companion object {
            /** No connection could be opened. */
            val UNREACHABLE = NotExecuted(AttemptOutcome.FAILED, "unreachable", reachedReplica = false)

            /** The replica was removed, restarted or began to leave while a connection was being opened. */
            val WITHDRAWN = NotExecuted(AttemptOutcome.ABANDONED, "replica-withdrawn", reachedReplica = false)
        }
    }

    /** The gateway cancelled the attempt because a part of the prompt was quarantined meanwhile. */
    data object Quarantined : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ABANDONED
        override val label: String get() = "quarantined"
    }

    /** The gateway cancelled the attempt to move the stream off a slow replica. */
    data object Moved : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.ABANDONED
        override val label: String get() = "moved"
    }

    /**
     * The replica may have executed the request. [errorResponse] is its error response, if there was one.
     * [connectionLost] is true if the replica ended the connection before its response was complete.
     */
    class Failed(
        override val label: String,
        val errorResponse: BufferedResponse? = null,
        val connectionLost: Boolean = false,
    ) : AttemptEnd {
        override val outcome: AttemptOutcome get() = AttemptOutcome.FAILED
    }
}

/**
 * @param resumesAfter id of the last event that the caller has, when the attempt resumes a stream.
 * @param repeatable true if the request may be sent to another replica after this one may have executed it.
 */
internal class Attempt(
    private val exchange: Exchange,
    val replica: Replica,
    private val request: InboundRequest,
    private val resumesAfter: Long?,
    private val repeatable: Boolean,
) : ResponseHandler,
    StreamForwarder.Output {
    val startedAt: Timestamp = ProcessClock.now()
    private var connection: HttpConnection? = null
    private var ended = false
    private var head: ResponseHead? = null
    private var notExecuted: AttemptEnd.NotExecuted? = null
    private var stream: StreamForwarder? = null

    /** How the attempt ends once the events of its stream were forwarded; null while the response goes on. */
    private var streamEnd: (() -> AttemptEnd)? = null
    private val body: ByteBuf by lazy { Unpooled.buffer() }
    private var reservedBytes = 0

    private var lastEventAt: Timestamp? = null

    /** True if only the end of the connection ends the response. */
    var unframed: Boolean = false
        private set

    /** Id of the request that a rejected response belongs to, if it has one. */
    var foreignId: String? = null
        private set

    /** Number of complete events that the replica has sent. */
    var eventCount: Int = 0
        private set

    /** True once the head of the response has arrived. */
    val responseStarted: Boolean get() = head != null

    /** Number of requests sent on the connection, including this one. */
    val connectionRequestCount: Int? get() = connection?.requests

    /** Only the rest of a resumed stream can be empty. */
    private val resuming: Boolean get() = resumesAfter != null || request.headers.contains(Headers.LAST_EVENT_ID)

    /** Local port of the connection. */
    val connectionPort: Int? get() = connection?.localPort

    val streamHead: ResponseHead get() = checkNotNull(head) { "the response has not started" }

    fun send(to: HttpConnection, timeLeft: Duration, workspace: Workspace?) {
        connection = to
        to.send(buildForwardedRequest(timeLeft, workspace), this)
    }

    /** Time since the last event, or since the attempt began. */
    val silence: Duration get() = ProcessClock.now() - (lastEventAt ?: startedAt)

    /** Time since the event before the one that has just arrived; null if it is the first. */
    fun gapSinceLastEvent(): Duration? {
        val now = ProcessClock.now()
        return lastEventAt?.let { now - it }.also { lastEventAt = now }
    }

    fun cancel() {
        ended = true
        stream?.cancel()
        releaseMemory()
        closeConnection()
    }

    /** Closes the connection, unless the response has ended and another request may use it. */
    private fun closeConnection() {
        if (streamEnd == null) connection?.close()
    }

    private fun releaseMemory() {
        exchange.responseMemory.release(reservedBytes)
        reservedBytes = 0
    }

    /** Goes on with the stream after the caller has read. */
    fun onCallerWritable() {
        stream?.onWritable()
    }

    override val writable: Boolean get() = exchange.callerWritable

    override fun setReading(on: Boolean) {
        if (streamEnd == null) connection?.setAutoRead(on)
    }

    override fun flush(): Unit = exchange.flushStream()

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

    override val id: String? get() = request.id?.value

    /** A request that can be repeated goes to another replica at once, since the copy may be cut off. */
    override fun idToSkip(response: HttpResponse): String? =
        if (repeatable) null else response.headers().get(Headers.REQUEST_ID)

    override val finalHeader: String get() = Headers.REPLICA_SEAL

    override fun onHead(response: HttpResponse) {
        val status = response.status()
        val headers = response.headers()
        val echoed = headers.get(Headers.REQUEST_ID)
        val refused =
            headers.contains(Headers.NOT_EXECUTED) || status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()
        // A refusal without an id can be a late copy of an earlier one if the connection has been used before.
        val unidentified = echoed == null && refused && connectionRequestCount == 1
        val idMismatch = echoed != request.id?.value && !unidentified
        val sealed = headers.contains(Headers.REPLICA_SEAL)
        when {
            idMismatch -> {
                foreignId = echoed
                return failAndClose("foreign-answer")
            }

            refused -> notExecuted = refusalResult(status)

            !sealed -> return failAndClose("unsealed-answer")

            headers.contains(HttpHeaderNames.CONTENT_ENCODING) -> return failAndClose("encoded-answer")
        }
        if (status != HttpResponseStatus.MISDIRECTED_REQUEST) {
            exchange.limitTracker.responded(replica, startedAt, decodeRequestLimit(headers.get(Headers.REQUEST_LIMIT)))
            if (!unidentified && decodeLeaving(headers.get(Headers.LEAVING))) exchange.onReplicaLeaving(replica)
        }
        val forwardedHeaders = DefaultHttpHeaders()
        val hopByHop = hopByHopHeaders(headers)
        for ((name, value) in headers) if (name.lowercase() !in hopByHop) forwardedHeaders.add(name, value)
        head = ResponseHead(status, forwardedHeaders)
        unframed = !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response)
        val streamed = headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(Headers.EVENT_STREAM)
        if (notExecuted == null && status.code() == HttpResponseStatus.OK.code() && streamed) {
            stream = StreamForwarder(exchange.loop, this)
        }
    }

    override fun onEvent(id: Long?, bytes: ByteBuf) {
        eventCount++
        exchange.onEvent(this, id, bytes)
    }

    override fun onFaulty(reason: String): Unit = failAndClose(reason)

    override fun onDrained() {
        streamEnd?.let { finish(it()) }
    }

    private fun refusalResult(status: HttpResponseStatus): AttemptEnd.NotExecuted =
        if (status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            AttemptEnd.NotExecuted(AttemptOutcome.MISPLACED, "misplaced", reachedReplica = true)
        } else {
            AttemptEnd.NotExecuted(AttemptOutcome.FULL, "replica-full", reachedReplica = true)
        }

    override fun onContent(bytes: ByteBuf) {
        if (ended) return
        val sse = stream
        when {
            sse != null -> sse.append(bytes)
            !reserveBody(bytes.readableBytes()) -> failAndClose("answer-too-large")
            else -> body.writeBytes(bytes)
        }
    }

    override fun onReadComplete() {
        stream?.forward()
    }

    /** Small responses always have room, so that large ones of a faulty replica do not fail them. */
    private fun reserveBody(bytes: Int): Boolean {
        val size = body.readableBytes() + bytes
        if (size <= UNRESERVED_BYTES) return true
        if (size > MAX_BUFFERED_BYTES || !exchange.responseMemory.tryReserve(bytes)) return false
        reservedBytes += bytes
        return true
    }

    override fun onComplete() {
        val sse = stream
        val responseHead = head
        val refused = notExecuted
        when {
            refused != null -> finish(refused)

            responseHead == null -> finish(AttemptEnd.Failed("no-answer"))

            sse != null -> endStream(sse) {
                when {
                    sse.partial -> AttemptEnd.Failed("event-cut", connectionLost = true)
                    unframed && eventCount == 0 && !resuming -> AttemptEnd.Failed("empty-stream", connectionLost = true)
                    else -> AttemptEnd.Answered.StreamEnded
                }
            }

            else -> {
                val response = BufferedResponse(responseHead.status, responseHead.headers, body)
                val failed = responseHead.status.code() >= MIN_SERVER_ERROR_STATUS
                finish(
                    if (failed) {
                        AttemptEnd.Failed(
                            "status-${responseHead.status.code()}",
                            response,
                        )
                    } else {
                        AttemptEnd.Answered.Buffered(response)
                    },
                )
            }
        }
    }

    /** Ends the attempt with [end] once the whole events of [sse] were forwarded. */
    private fun endStream(sse: StreamForwarder, end: () -> AttemptEnd) {
        streamEnd = end
        sse.endInput()
    }

    override fun onTransportFailure(reason: TransportFailure) {
        val refused = notExecuted
        val sse = stream
        when {
            refused != null -> finish(refused)

            reason == TransportFailure.NOT_WRITTEN ->
                finish(AttemptEnd.NotExecuted(AttemptOutcome.FAILED, "not-written", reachedReplica = false))

            sse != null -> endStream(sse) { transportFailure(reason) }

            else -> finish(transportFailure(reason))
        }
    }

    private fun transportFailure(reason: TransportFailure) = AttemptEnd.Failed(
        reason.name.lowercase().replace('_', '-'),
        connectionLost = reason != TransportFailure.MALFORMED,
    )

    private fun failAndClose(label: String) {
        closeConnection()
        finish(AttemptEnd.Failed(label))
    }

    private fun finish(result: AttemptEnd) {
        if (ended) return
        ended = true
        stream?.cancel()
        releaseMemory()
        exchange.onAttemptEnded(this, result)
    }

    private companion object {
        /** Maximum size of a response that is not a stream. */
        const val MAX_BUFFERED_BYTES = 8 * 1024 * 1024

        /** Size up to which a response does not count toward the memory of large responses. */
        const val UNRESERVED_BYTES = 64 * 1024
        const val MIN_SERVER_ERROR_STATUS = 500

        /** Headers that apply to a single connection and are not forwarded. */
        val HOP_BY_HOP = setOf(
            "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
            "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
        )

        /** Headers that the gateway sets; values sent by the caller are dropped. */
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
