/**
 * One connection of a caller.
 *
 * Requests are read whole and handled one after the other; further ones wait in a short queue, and reading stops when
 * it is full. A caller that leaves ends its exchange at once. Everything happens on the traffic thread.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.telemetry.Defects
import org.jujubelead.gateway.telemetry.LogEvent
import java.io.IOException

/** @param begin starts the exchange of a request. */
internal class CallerConnection(
    private val traffic: Traffic,
    private val begin: (CallerConnection, InboundRequest) -> Exchange,
) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var bodyTooLarge = false
    private val waiting = ArrayDeque<InboundRequest>()
    private var exchange: Exchange? = null
    private var closing = false

    /** When the last request ended or the connection was opened. */
    private var quietSince: Timestamp = ProcessClock.now()

    /** When the first byte of a request that is still being read arrived. */
    private var readingSince: Timestamp? = null

    val writable: Boolean get() = channel.isWritable
    val idle: Boolean get() = exchange == null && readingSince == null && waiting.isEmpty()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        traffic.connections += this
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
        if (request.decoderResult().isFailure) return refuseUnreadable(request.decoderResult().cause())
        readingSince = ProcessClock.now()
        head = request
        body = Unpooled.compositeBuffer(MOST_BODY_PARTS)
        bodyTooLarge = HttpUtil.getContentLength(request, 0L) > traffic.limits.maxBodyBytes
        if (HttpUtil.is100ContinueExpected(request) && !bodyTooLarge) {
            channel.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
        if (bodyTooLarge) refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
    }

    private fun readContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return refuseUnreadable(content.decoderResult().cause())
        val request = head ?: return
        val collected = body ?: return
        if (collected.readableBytes() + content.content().readableBytes() > traffic.limits.maxBodyBytes) {
            return refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (content.content().isReadable) collected.addComponent(true, content.content().retain())
        if (content !is LastHttpContent) return
        head = null
        body = null
        readingSince = null
        waiting.addLast(InboundRequest(request, collected, ProcessClock.now()))
        if (waiting.size >= MOST_WAITING) channel.config().isAutoRead = false
        next()
    }

    private fun next() {
        if (exchange != null || closing) return
        val request = waiting.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        val started = begin(this, request)
        if (!started.over) exchange = started
    }

    /** Sends a whole answer. [answerBody] is consumed. */
    fun answer(
        request: InboundRequest,
        status: HttpResponseStatus,
        headers: HttpHeaders,
        answerBody: ByteBuf,
        close: Boolean,
    ) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, answerBody)
        response.headers().add(headers)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = answerBody.readableBytes()
        val last = close || !request.keepAlive || traffic.draining
        if (last) response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        val written = channel.writeAndFlush(response)
        finished(request, last)
        if (last) written.addListener(ChannelFutureListener.CLOSE)
    }

    fun startStream(request: InboundRequest, status: HttpResponseStatus, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().add(headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        if (!request.keepAlive || traffic.draining) {
            response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            closing = true
        }
        channel.write(response)
    }

    /** Sends a part of a stream. [bytes] is consumed. */
    fun streamPart(bytes: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(bytes))
    }

    fun endStream(request: InboundRequest) {
        val last = closing
        val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        finished(request, last)
        if (last) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Breaks the connection off, so that an answer that has begun cannot look complete. */
    fun abort(request: InboundRequest) {
        finished(request, last = true)
        channel.close()
    }

    private fun finished(request: InboundRequest, last: Boolean) {
        request.release()
        exchange = null
        closing = closing || last
        quietSince = ProcessClock.now()
        if (!closing && waiting.isNotEmpty()) channel.eventLoop().execute(::next)
    }

    /** Closes the connection when the caller has been idle or slow for too long. */
    fun checkTimeouts(now: Timestamp) {
        val limits = traffic.limits
        val since = readingSince
        when {
            since != null && now - since > limits.idleTimeout -> refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT)
            idle && now - quietSince > limits.idleTimeout -> channel.close()
        }
    }

    /** Tells the request that is being handled, if any, that replicas have become slow or sound. */
    fun pacesChanged() {
        exchange?.leaveSlowReplica()
    }

    /** Closes the connection if it is idle. */
    fun closeIfIdle() {
        if (idle) channel.close()
    }

    private fun refuseUnreadable(cause: Throwable) {
        traffic.log.log(LogEvent.CALLER_PROTOCOL_ERROR, "cause" to cause.message)
        refuseAndClose(HttpResponseStatus.BAD_REQUEST)
    }

    private fun refuseAndClose(status: HttpResponseStatus) {
        if (closing) return
        closing = true
        head = null
        body?.release()
        body = null
        channel.config().isAutoRead = false
        if (exchange != null) {
            channel.close()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = 0
        response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        exchange?.callerWritable(channel.isWritable)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        traffic.connections -= this
        closing = true
        exchange?.callerLeft()
        exchange = null
        waiting.forEach { it.release() }
        waiting.clear()
        body?.release()
        body = null
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) Defects.report("caller", cause)
        ctx.close()
    }

    private companion object {
        /** Requests read ahead on one connection. */
        const val MOST_WAITING = 4
        const val MOST_BODY_PARTS = 1024
    }
}
