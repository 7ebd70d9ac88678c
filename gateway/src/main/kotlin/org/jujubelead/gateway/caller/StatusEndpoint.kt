/** Answers fixed paths, for readiness and metrics. */
package org.jujubelead.gateway.caller

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** An answer: status and text. */
internal class StatusAnswer(val status: HttpResponseStatus, val text: String)

/** The handlers of a connection that gets [answers] by path. */
internal fun statusPipeline(answers: Map<String, () -> StatusAnswer>): List<ChannelHandler> =
    listOf(HttpServerCodec(), StatusHandler(answers))

private class StatusHandler(private val answers: Map<String, () -> StatusAnswer>) :
    SimpleChannelInboundHandler<HttpRequest>() {
    override fun channelRead0(ctx: ChannelHandlerContext, request: HttpRequest) {
        val answer = answers[request.uri().substringBefore('?')]?.invoke()
            ?: StatusAnswer(HttpResponseStatus.NOT_FOUND, "no such path\n")
        val body = Unpooled.copiedBuffer(answer.text, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status, body)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.readableBytes()
        response.headers()[HttpHeaderNames.CONTENT_TYPE] = "text/plain; charset=utf-8"
        HttpUtil.setKeepAlive(response, HttpUtil.isKeepAlive(request))
        ctx.writeAndFlush(response).addListener { if (!HttpUtil.isKeepAlive(request)) ctx.close() }
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // The platform asks again; a broken question needs no answer.
        ctx.close()
    }
}
