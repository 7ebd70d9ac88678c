/** Decodes the responses of one connection, and tells which bytes it holds beyond the last complete message. */
package org.jujubelead.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

internal class ResponseDecoder : HttpResponseDecoder() {
    /** Method of the request that is answered next. */
    var requestMethod: HttpMethod = HttpMethod.GET

    /** Bytes that have arrived and are no part of a message yet. Valid until the next call. */
    val undecoded: ByteBuf get() = internalBuffer()

    private var headExpected = true

    /** Passes a head on only once it is complete and valid; what follows an invalid one is dropped. */
    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (headExpected) {
            val end = ResponseHeadCheck.endOfHead(buffer)
            if (end < 0 && buffer.readableBytes() <= MAX_HEAD_BYTES) return
            if (end < 0 || !ResponseHeadCheck.isValid(buffer, end)) {
                buffer.skipBytes(buffer.readableBytes())
                out.add(invalidResponse())
                return
            }
            headExpected = false
        }
        val before = out.size
        super.decode(ctx, buffer, out)
        if (out.size > before && out.last() is LastHttpContent) headExpected = true
    }

    private fun invalidResponse() = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY).apply {
        decoderResult = DecoderResult.failure(IllegalArgumentException("invalid head"))
    }

    /** Returns whether only the end of the connection ends [response]. */
    fun isUnframed(response: HttpResponse): Boolean = !isContentAlwaysEmpty(response) &&
        !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response)

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean {
        val interim = (msg as HttpResponse).status().codeClass() == HttpStatusClass.INFORMATIONAL
        return (requestMethod == HttpMethod.HEAD && !interim) || super.isContentAlwaysEmpty(msg)
    }

    private companion object {
        /** Maximum size of a head. */
        const val MAX_HEAD_BYTES = 16 * 1024
    }
}
