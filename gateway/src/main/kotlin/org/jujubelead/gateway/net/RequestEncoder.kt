/**
 * Encodes requests with the bytes of their target as they were received.
 *
 * Targets are decoded as Latin-1. The encoder of the library writes UTF-8, which would replace each byte above 127 that
 * a caller has sent by two others.
 */
package org.jujubelead.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder

internal class RequestEncoder : HttpRequestEncoder() {
    override fun encodeInitialLine(buf: ByteBuf, request: HttpRequest) {
        if (request.uri().all { it.code <= MAX_ASCII }) return super.encodeInitialLine(buf, request)
        val line = "${request.method()} ${request.uri()} ${request.protocolVersion()}\r\n"
        buf.writeCharSequence(line, Charsets.ISO_8859_1)
    }

    private companion object {
        const val MAX_ASCII = 127
    }
}
