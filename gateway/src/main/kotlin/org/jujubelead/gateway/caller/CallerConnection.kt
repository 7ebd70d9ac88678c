/**
 * Serves one connection of a caller.
 *
 * Requests are read completely and handled in order. Pipelined requests wait in a bounded queue; reading stops while it
 * is full. Only the request in turn is answered, and with one head: anything else ends the connection, since its bytes
 * would become part of another answer. When the caller disconnects, its exchange ends at once. Runs on the data plane's
 * event loop.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.telemetry.DefectReporter
import org.jujubelead.gateway.telemetry.LogEvent
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** @param startExchange creates and starts the exchange for a request. */
internal class CallerConnection(
    private val dataPlane: DataPlane,
    private val startExchange: (CallerConnection, InboundRequest) -> Exchange,
) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private val pipelined = ArrayDeque<InboundRequest>()
    private var exchange: Exchange? = null

    /** The request in turn; null between requests. */
    private var current: InboundRequest? = null

    /** True once the head of the response to [current] was sent. */
    private var headSent = false
    private var closing = false

    /** Status for a request that cannot be read, sent after the responses to the requests before it. */
    private var rejection: HttpResponseStatus? = null

    /** True if the caller waits for an interim response before it sends the body of the request that is being read. */
    private var continueExpected = false
    private var requestsRead = 0

    /** When the last request ended, or when the connection was opened. */
    private var idleSince: Timestamp = ProcessClock.now()

    /** When the head of the request that is being read arrived. */
    private var requestStartedAt: Timestamp? = null

    /** True if the response that is being sent is one to a HEAD request. */
    val respondsToHead: Boolean get() = current?.method == HttpMethod.HEAD
    val writable: Boolean get() = channel.isWritable

    /** Bytes that were written and not sent yet. */
    val unsentBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
    val idle: Boolean get() = exchange == null && requestStartedAt == null && pipelined.isEmpty()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        dataPlane.connections += this
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpRequest) startRequest(msg)
            if (msg is HttpContent) readContent(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun startRequest(request: HttpRequest) {
        if (rejection != null) return
        if (request.decoderResult().isFailure) return rejectMalformed(request.decoderResult().cause().message)
        if (!hasDecodableBody(request)) return rejectMalformed("transfer coding other than chunked")
        if (request.method() == HttpMethod.CONNECT) return rejectAndClose(HttpResponseStatus.NOT_IMPLEMENTED)
        requestStartedAt = ProcessClock.now()
        head = request
        body = Unpooled.compositeBuffer(MAX_BODY_COMPONENTS)
        val tooLarge = HttpUtil.getContentLength(request, 0L) > dataPlane.callerLimits.maxBodyBytes
        if (tooLarge) return rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        continueExpected = HttpUtil.is100ContinueExpected(request)
        if (continueExpected) startNext()
    }

    private fun readContent(content: HttpContent) {
        val request = head ?: return
        val collected = body ?: return
        if (content.decoderResult().isFailure) return rejectMalformed(content.decoderResult().cause().message)
        if (collected.readableBytes() + content.content().readableBytes() > dataPlane.callerLimits.maxBodyBytes) {
            return rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (content.content().isReadable) collected.addComponent(true, content.content().retain())
        if (content !is LastHttpContent) return
        head = null
        body = null
        requestStartedAt = null
        continueExpected = false
        requestsRead++
        pipelined.addLast(InboundRequest(request, collected, ProcessClock.now()))
        if (pipelined.size >= MAX_PIPELINED_REQUESTS) channel.config().isAutoRead = false
        startNext()
    }

    private fun startNext() {
        if (current != null || closing) return
        val request = pipelined.removeFirstOrNull() ?: return answerUnreadRequest()
        channel.config().isAutoRead = true
        current = request
        headSent = false
        val started = startExchange(this, request)
        if (!started.finished) exchange = started
    }

    /** Sends what is due to the request that is being read, once all requests before it are answered. */
    private fun answerUnreadRequest() {
        val status = rejection
        if (status != null) {
            closing = true
            val response = emptyResponse(status)
            response.headers()[HttpHeaderNames.CONTENT_LENGTH] = 0
            response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        } else if (continueExpected) {
            continueExpected = false
            channel.writeAndFlush(emptyResponse(HttpResponseStatus.CONTINUE))
        }
    }

    private fun emptyResponse(status: HttpResponseStatus) =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)

    /** Sends a complete response and takes ownership of [responseBody]. A stream that has started is cut instead. */
    fun respond(
        request: InboundRequest,
        status: HttpResponseStatus,
        headers: HttpHeaders,
        responseBody: ByteBuf,
        close: Boolean,
    ) {
        if (!isDue(request, afterHead = false)) {
            responseBody.release()
            return
        }
        headSent = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, responseBody)
        response.headers().add(headers)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = responseBody.readableBytes()
        val last = close || !request.keepAlive || dataPlane.draining
        if (last) response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        val written = channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
        requestFinished(request, last)
        if (last) written.addListener(ChannelFutureListener.CLOSE)
    }

    fun startStream(request: InboundRequest, status: HttpResponseStatus, headers: HttpHeaders) {
        if (!isDue(request, afterHead = false)) return
        headSent = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().add(headers)
        if (request.acceptsChunks) {
            HttpUtil.setTransferEncodingChunked(response, true)
        } else {
            // Until its end was sent, the stream would look complete if the connection were closed regularly.
            channel.config().setOption(ChannelOption.SO_LINGER, 0)
        }
        if (!request.keepAlive || dataPlane.draining) {
            response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            closing = true
        }
        channel.write(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
    }

    /** Adds a chunk to a stream, to be sent by [flush], and takes ownership of [bytes]. */
    fun writeStreamChunk(bytes: ByteBuf) {
        if (!headSent) {
            bytes.release()
            return
        }
        channel.write(DefaultHttpContent(bytes))
    }

    fun flush() {
        channel.flush()
    }

    fun endStream(request: InboundRequest) {
        if (!isDue(request, afterHead = true)) return
        val last = closing
        val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        requestFinished(request, last)
        if (!last) return
        written.addListener { sent ->
            if (sent.isSuccess) channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER)
            channel.close()
        }
    }

    /** Closes the connection without the end of the stream, so that the caller can tell that it is incomplete. */
    fun abort(request: InboundRequest) {
        if (request === current) {
            requestFinished(request, last = true)
        } else {
            DefectReporter.report("caller", IllegalStateException("answer to a request that is not in turn"))
        }
        channel.close()
    }

    /** Closes the connection and returns false unless the next bytes belong to [request], before or [afterHead]. */
    private fun isDue(request: InboundRequest, afterHead: Boolean): Boolean {
        val due = request === current && headSent == afterHead
        if (!due) abort(request)
        return due
    }

    private fun requestFinished(request: InboundRequest, last: Boolean) {
        request.release()
        exchange = null
        current = null
        headSent = false
        closing = closing || last
        idleSince = ProcessClock.now()
        val pending = pipelined.isNotEmpty() || rejection != null || continueExpected
        if (!closing && pending) channel.eventLoop().execute(::startNext)
    }

    /** Closes the connection if the caller has exceeded the idle timeout between or within requests. */
    fun checkTimeouts(now: Timestamp) {
        val limits = dataPlane.callerLimits
        val startedAt = requestStartedAt
        when {
            startedAt != null && now - startedAt > limits.idleTimeout -> rejectAndClose(
                HttpResponseStatus.REQUEST_TIMEOUT,
            )

            idle && now - idleSince > limits.idleTimeout -> channel.close()
        }
    }

    /** Notifies the current exchange that the set of slow replicas has changed. */
    fun onSlowRanksChanged() {
        exchange?.moveStreamOffSlowReplica()
    }

    /** Notifies the current exchange that parts of prompts were quarantined or released. */
    fun onQuarantineChanged() {
        exchange?.onQuarantineChanged()
    }

    /** Closes the connection if it is idle, unless its first request may still be on the way. */
    fun closeUnused(now: Timestamp) {
        val unused = requestsRead == 0 && now - idleSince < FIRST_REQUEST_DELAY
        if (idle && !unused) channel.close()
    }

    private fun rejectMalformed(cause: String?) {
        dataPlane.log.log(LogEvent.CALLER_PROTOCOL_ERROR, "cause" to cause)
        rejectAndClose(HttpResponseStatus.BAD_REQUEST)
    }

    private fun rejectAndClose(status: HttpResponseStatus) {
        if (closing || rejection != null) return
        rejection = status
        head = null
        body?.release()
        body = null
        startNext()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        exchange?.onWritabilityChanged(channel.isWritable)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        dataPlane.connections -= this
        closing = true
        exchange?.onCallerDisconnected()
        exchange = null
        current = null
        pipelined.forEach { it.release() }
        pipelined.clear()
        body?.release()
        body = null
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) DefectReporter.report("caller", cause)
        ctx.close()
    }

    private companion object {
        /** Maximum number of requests read ahead on one connection. */
        const val MAX_PIPELINED_REQUESTS = 4
        const val MAX_BODY_COMPONENTS = 1024

        /** Value of [ChannelOption.SO_LINGER] with which a close sends the buffered bytes. */
        const val NO_LINGER = -1

        /** A caller sends its first request right after it has connected. */
        val FIRST_REQUEST_DELAY: Duration = 500.milliseconds
    }
}
