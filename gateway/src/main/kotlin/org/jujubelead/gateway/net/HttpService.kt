/** Internal HTTP services of this process: readiness, metrics, and calls between processes of the deployment. */
package org.jujubelead.gateway.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.gateway.telemetry.DefectReporter
import java.io.IOException

/** Handles one call. The response may be given later, on the same event loop. */
public typealias CallHandler = (body: String, answer: (TextResponse) -> Unit) -> Unit

private const val MAX_BODY_BYTES = 4 * 1024 * 1024

/** Creates the channel handlers of a connection whose calls are dispatched by path. */
public fun servicePipeline(calls: Map<String, CallHandler>): List<ChannelHandler> =
    listOf(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES), ServiceHandler(calls))

/** Handles the calls of a connection one after another, each in a turn of its own. */
private class ServiceHandler(private val calls: Map<String, CallHandler>) :
    SimpleChannelInboundHandler<FullHttpRequest>() {
    private class Call(val path: String, val body: String, val keepAlive: Boolean)

    /** Calls that have arrived while another one is handled. */
    private val waiting = ArrayDeque<Call>()
    private var busy = false

    override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
        val body = request.content().toString(Charsets.UTF_8)
        waiting += Call(request.uri().substringBefore('?'), body, HttpUtil.isKeepAlive(request))
        if (busy) ctx.channel().config().isAutoRead = false
        handleNext(ctx)
    }

    private fun handleNext(ctx: ChannelHandlerContext) {
        if (busy) return
        val call = waiting.removeFirstOrNull() ?: return
        busy = true
        val answer = { a: TextResponse -> respond(ctx, a, call.keepAlive) }
        val handler = calls[call.path]
        if (handler == null) {
            answer(TextResponse(HttpResponseStatus.NOT_FOUND.code(), "no such path\n"))
        } else {
            handler(call.body, answer)
        }
    }

    private fun respond(ctx: ChannelHandlerContext, answer: TextResponse, keepAlive: Boolean) {
        val body = Unpooled.copiedBuffer(answer.body, Charsets.UTF_8)
        val status = HttpResponseStatus.valueOf(answer.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.readableBytes()
        response.headers()[HttpHeaderNames.CONTENT_TYPE] = "text/plain; charset=utf-8"
        HttpUtil.setKeepAlive(response, keepAlive)
        ctx.writeAndFlush(response).addListener { if (!keepAlive) ctx.close() }
        busy = false
        if (waiting.isEmpty()) ctx.channel().config().isAutoRead = true
        ctx.executor().execute { handleNext(ctx) }
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // The peer retries on a new connection; an aborted call needs no response.
        if (cause !is IOException) DefectReporter.report("call", cause)
        ctx.close()
    }
}
