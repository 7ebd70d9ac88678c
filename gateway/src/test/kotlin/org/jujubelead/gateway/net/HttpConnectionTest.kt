package org.jujubelead.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.jujubelead.core.replica.Endpoint
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(20)
class HttpConnectionTest {
    private val group = NioEventLoopGroup(1)
    private val server = ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))
    private val loop = group.next()
    private val pool = ConnectionPool(Endpoint("127.0.0.1", server.localPort), loop, 2.seconds)

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Serves connections with [answer], once the head of a request has arrived on each. */
    private fun serve(answer: (Socket) -> Unit) {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                server.accept().use { socket ->
                    val head = StringBuilder()
                    while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
                    answer(socket)
                }
            }
        }
    }

    /** Sends a request with a body of [bodyBytes] after [delay] on the event loop, and returns how it ended. */
    private fun resultOf(bodyBytes: Int = 0, delay: Duration = Duration.ZERO): String {
        val result = CompletableFuture<String>()
        val handler = object : ResponseHandler {
            override fun onHead(response: HttpResponse) = Unit

            override fun onContent(bytes: ByteBuf) = Unit

            override fun onComplete() {
                result.complete("complete")
            }

            override fun onTransportFailure(reason: TransportFailure) {
                result.complete(reason.name)
            }
        }
        loop.execute {
            Thread.sleep(delay.inWholeMilliseconds)
            pool.acquire(2.seconds) { connection ->
                val body = Unpooled.wrappedBuffer(ByteArray(bodyBytes))
                val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", body)
                request.headers()[HttpHeaderNames.CONTENT_LENGTH] = bodyBytes
                checkNotNull(connection).send(request, handler)
            }
        }
        return result.get(10, TimeUnit.SECONDS)
    }

    /** Guards against half an answer that reaches the caller as a whole one. */
    @Test
    fun `an unframed response that is reset while the request is written is not complete`() {
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".toByteArray())
            Thread.sleep(200)
            socket.setSoLinger(true, 0)
        }
        expectThat(resultOf(bodyBytes = 16 * 1024 * 1024)).isEqualTo(TransportFailure.CUT.name)
    }

    @Test
    fun `an unframed response that ends with an orderly close is complete`() {
        serve { socket -> socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nwhole".toByteArray()) }
        expectThat(resultOf()).isEqualTo("complete")
    }

    /** Guards against a response that begins with bytes which arrived while the event loop was busy. */
    @Test
    fun `a connection with unread bytes is not used for the next request`() {
        val copySent = CompletableFuture<Unit>()
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
            Thread.sleep(BUSY.inWholeMilliseconds / 2)
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n".toByteArray())
            copySent.get()
        }
        expectThat(resultOf()).isEqualTo("complete")
        // The copy arrives while the loop sleeps; the server answers the second connection after the first.
        thread(isDaemon = true) {
            Thread.sleep(BUSY.inWholeMilliseconds)
            copySent.complete(Unit)
        }
        expectThat(resultOf(delay = BUSY)).isEqualTo("complete")
        expectThat(pool.opened).isEqualTo(2)
    }

    /** Guards against a response whose status is that of the bytes behind the response before it. */
    @Test
    fun `a connection with bytes behind a response is not used for the next request`() {
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n$PART_OF_COPY".toByteArray())
            socket.getInputStream().read()
        }
        expectThat(resultOf()).isEqualTo("complete")
        expectThat(resultOf()).isEqualTo("complete")
        expectThat(pool.opened).isEqualTo(2)
    }

    @Test
    fun `a connection is closed when bytes arrive while it is idle`() {
        val closed = CompletableFuture<Int>()
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
            Thread.sleep(BUSY.inWholeMilliseconds)
            socket.getOutputStream().write(PART_OF_COPY.toByteArray())
            closed.complete(socket.getInputStream().read())
        }
        expectThat(resultOf()).isEqualTo("complete")
        expectThat(closed.get(5, TimeUnit.SECONDS)).isEqualTo(-1)
        expectThat(resultOf()).isEqualTo("complete")
        expectThat(pool.opened).isEqualTo(2)
    }

    private companion object {
        /** The beginning of a second copy of a refusal. */
        const val PART_OF_COPY = "HTTP/1.1 503 Se"
        val BUSY: Duration = 200.milliseconds
    }
}
