/**
 * Client of the platform's store.
 *
 * Each call has its own deadline. A connection whose call passes its deadline is closed, since a connection can go
 * silent for good while new ones work. Everything happens on the control thread.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.AnswerReceiver
import org.jujubelead.gateway.net.Break
import org.jujubelead.gateway.net.ConnectionPool
import org.jujubelead.gateway.net.HttpConnection
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An answer of the store. */
public class StoreAnswer(public val status: Int, public val body: String)

/** A call without an answer. A write may have taken effect, now or later. */
public data class StoreFailure(val detail: String)

/** @param timeout of one call. */
public class StoreClient(endpoint: Endpoint, private val loop: EventLoop, private val timeout: Duration) {
    private val pool = ConnectionPool(endpoint, loop, connectTimeout = timeout)

    public fun get(path: String, done: (Result<StoreAnswer, StoreFailure>) -> Unit): Unit =
        call(HttpMethod.GET, path, null, done)

    public fun post(path: String, body: String, done: (Result<StoreAnswer, StoreFailure>) -> Unit): Unit =
        call(HttpMethod.POST, path, body, done)

    private fun call(method: HttpMethod, path: String, body: String?, done: (Result<StoreAnswer, StoreFailure>) -> Unit) {
        val call = Call(done)
        val timer = loop.schedule({ call.expire() }, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        call.onEnd = { timer.cancel(false) }
        pool.acquire(MOST_IDLE) { connection ->
            when {
                call.ended -> connection?.close()

                connection == null -> call.end(Err(StoreFailure("no connection")))

                else -> {
                    call.connection = connection
                    connection.send(request(method, path, body), call)
                }
            }
        }
    }

    private fun request(method: HttpMethod, path: String, body: String?): DefaultFullHttpRequest {
        val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request.headers()[HttpHeaderNames.HOST] = pool.endpoint.toString()
        if (body != null) {
            request.headers()[HttpHeaderNames.CONTENT_TYPE] = "application/json"
            request.headers()[HttpHeaderNames.CONTENT_LENGTH] = content.readableBytes()
        }
        return request
    }

    private class Call(private val done: (Result<StoreAnswer, StoreFailure>) -> Unit) : AnswerReceiver {
        var ended = false
        var connection: HttpConnection? = null
        var onEnd: () -> Unit = {}
        private var status = 0
        private val body = Unpooled.buffer()

        fun end(result: Result<StoreAnswer, StoreFailure>) {
            if (ended) return
            ended = true
            onEnd()
            done(result)
        }

        fun expire() {
            connection?.close()
            end(Err(StoreFailure("no answer in time")))
        }

        override fun onHead(response: HttpResponse) {
            status = response.status().code()
        }

        override fun onContent(bytes: ByteBuf) {
            body.writeBytes(bytes)
        }

        override fun onComplete() = end(Ok(StoreAnswer(status, body.toString(Charsets.UTF_8))))

        override fun onBroken(reason: Break) = end(Err(StoreFailure("connection ended: $reason")))
    }

    private companion object {
        /** Between two polls a connection is idle for one poll interval; longer idle ones are not trusted. */
        val MOST_IDLE: Duration = 5.seconds
    }
}
