/**
 * Decoder that rejects requests with an ambiguous length, which allow request smuggling: the next hop might interpret
 * the length differently.
 */
package org.jujubelead.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

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
