/**
 * Reads requests of callers strictly: a message whose length can be read in two ways is refused, since the next hop
 * might read it the other way.
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
        throw IllegalArgumentException("both a length and chunks")
    }
}
