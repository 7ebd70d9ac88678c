/** A complete request of a caller. */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.RequestId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.wire.Headers
import org.jujubelead.platform.wire.decodeOwnPromptPart
import org.jujubelead.platform.wire.decodeSharedPromptParts

/** @property body body of the request; [release] must be called once. */
internal class InboundRequest(private val head: HttpRequest, val body: ByteBuf, val arrivedAt: Timestamp) {
    val method = head.method()
    val uri: String = head.uri()
    val path: String = uri.substringBefore('?')
    val headers: HttpHeaders = head.headers()
    val host: String = headers.get(HttpHeaderNames.HOST).orEmpty()
    val id: RequestId? = headers.get(Headers.REQUEST_ID)?.let(::RequestId)

    /** False for a caller of HTTP/1.0, to which only the end of the connection ends a stream. */
    val acceptsChunks: Boolean = head.protocolVersion() >= HttpVersion.HTTP_1_1
    val keepAlive: Boolean = acceptsChunks && HttpUtil.isKeepAlive(head)

    /** Time in milliseconds until the caller's deadline; null if the request has none. */
    val timeLeftMillis: Long? = headers.get(Headers.DEADLINE)?.trim()?.toLongOrNull()

    /** Parts of the prompt that other requests can have as well. */
    val sharedParts: List<PromptPartId> = decodeSharedPromptParts(headers.get(Headers.PROMPT_PARTS))

    /** Part of the prompt that only this request, or its session, has; the same when its caller sends it again. */
    val ownPart: PromptPartId? = decodeOwnPromptPart(headers.get(Headers.PROMPT_PARTS))

    val apiKey: String? = headers.get(HttpHeaderNames.AUTHORIZATION)?.trim()?.let { text ->
        val scheme = text.substringBefore(' ')
        if (scheme.equals(Headers.AUTH_SCHEME, ignoreCase = true)) text.substringAfter(' ', "").trim() else null
    }

    /** Headers of a response that no replica has sent. */
    fun localHeaders(): HttpHeaders {
        val headers = DefaultHttpHeaders()
        if (id != null) headers[Headers.REQUEST_ID] = id.value
        return headers
    }

    fun release() {
        body.release()
    }
}
