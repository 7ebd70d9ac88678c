/**
 * Decoder that rejects requests with an ambiguous length, which allow request smuggling: the next hop might interpret
 * the length differently.
 */
package org.jujubelead.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpVersion

internal class StrictRequestDecoder(maxHeaderBytes: Int) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(maxHeaderBytes)
        .setMaxHeaderSize(maxHeaderBytes)
        .setAllowDuplicateContentLengths(false),
) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked")
    }
}

/**
 * False if the body of [request] has a transfer coding other than chunked. The decoder finds no body then, and would
 * take its bytes for the next request.
 */
internal fun hasDecodableBody(request: HttpRequest): Boolean {
    val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    if (codings.isEmpty()) return true
    val chunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull()?.trim())
    return chunked && request.protocolVersion() == HttpVersion.HTTP_1_1
}
