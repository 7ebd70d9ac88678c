/**
 * HTTP client for one endpoint that buffers complete responses.
 *
 * Each call has its own deadline. A connection whose call exceeds its deadline is closed, since a connection can stall
 * permanently while new ones work. Runs on one event loop.
 */
package org.jujubelead.gateway.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.schedule.scheduleOnce
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A complete response with a text body. */
public class TextResponse(
    public val status: Int,
    public val body: String,
    public val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
)

/** Failure of a call without a complete response. The call may have taken effect, or may still do so. */
public data class CallFailure(val detail: String)

/** Returns the body of a response with status 200; null for any other result. */
public fun Result<TextResponse, CallFailure>.successBody(): String? = get()?.takeIf { it.status == STATUS_OK }?.body

private const val STATUS_OK = 200

/**
 * @param timeout timeout of each call that has no other one.
 * @param maxResponseBytes maximum size of a response; the connection of a larger one is closed.
 */
public class HttpClient(
    override val endpoint: Endpoint,
    private val loop: EventLoop,
    private val timeout: Duration,
    private val maxResponseBytes: Int = DEFAULT_MAX_RESPONSE_BYTES,
) : RpcClient {
    private val pool = ConnectionPool(endpoint, loop, connectTimeout = timeout)

    override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit): Unit =
        call(HttpMethod.GET, path, null, timeout, done)

    override fun post(
        path: String,
        body: String,
        timeout: Duration?,
        done: (Result<TextResponse, CallFailure>) -> Unit,
    ): Unit = call(HttpMethod.POST, path, body, timeout ?: this.timeout, done)

    override fun close(): Unit = pool.close()

    private fun call(
        method: HttpMethod,
        path: String,
        body: String?,
        timeout: Duration,
        done: (Result<TextResponse, CallFailure>) -> Unit,
    ) {
        val request = try {
            request(method, path, body)
        } catch (e: IllegalArgumentException) {
            return done(Err(CallFailure("not a valid request: ${e.message}")))
        }
        val call = Call(maxResponseBytes, done)
        val timer = loop.scheduleOnce(timeout, "call timeout", call::expire)
        call.onEnd = { timer.cancel(false) }
        pool.acquire(MAX_IDLE) { connection ->
            when {
                call.ended -> connection?.let(pool::release)

                connection == null -> call.end(Err(CallFailure("no connection")))

                else -> {
                    call.connection = connection
                    connection.send(request, call)
                }
            }
        }
    }

    private fun request(method: HttpMethod, path: String, body: String?): DefaultFullHttpRequest {
        val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request.headers()[HttpHeaderNames.HOST] = endpoint.toString()
        if (body != null) {
            request.headers()[HttpHeaderNames.CONTENT_TYPE] = "application/json"
            request.headers()[HttpHeaderNames.CONTENT_LENGTH] = content.readableBytes()
        }
        return request
    }

    private class Call(
        private val maxResponseBytes: Int,
        private val done: (Result<TextResponse, CallFailure>) -> Unit,
    ) : ResponseHandler {
        var ended = false
        var connection: HttpConnection? = null
        var onEnd: () -> Unit = {}
        private var status = 0
        private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
        private val body = Unpooled.buffer()

        fun end(result: Result<TextResponse, CallFailure>) {
            if (ended) return
            ended = true
            onEnd()
            guarded("answer") { done(result) }
        }

        fun expire() {
            abort("no response before the deadline")
        }

        private fun abort(detail: String) {
            connection?.close()
            end(Err(CallFailure(detail)))
        }

        override fun onHead(response: HttpResponse) {
            status = response.status().code()
            headers = response.headers()
        }

        override fun onContent(bytes: ByteBuf) {
            if (ended) return
            if (body.readableBytes() + bytes.readableBytes() > maxResponseBytes) {
                return abort("response larger than $maxResponseBytes bytes")
            }
            body.writeBytes(bytes)
        }

        override fun onComplete() = end(Ok(TextResponse(status, body.toString(Charsets.UTF_8), headers)))

        override fun onTransportFailure(reason: TransportFailure) = end(Err(CallFailure("connection closed: $reason")))
    }

    private companion object {
        /** Twice the largest page of the store, which encodes values of a megabyte as text. */
        const val DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024

        /**
         * Longer than a polling interval, so that polls reuse connections; a connection that was idle for longer may be
         * stale.
         */
        val MAX_IDLE: Duration = 5.seconds
    }
}
