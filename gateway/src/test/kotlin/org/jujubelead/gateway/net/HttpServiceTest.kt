package org.jujubelead.gateway.net

import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.replica.Endpoint
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit

@Timeout(20)
class HttpServiceTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private var running = 0
    private var maxRunning = 0
    private val service = listen(Endpoint("127.0.0.1", 0), group) {
        servicePipeline(
            mapOf(
                "/echo" to { body, answer ->
                    maxRunning = maxOf(maxRunning, ++running)
                    // The first calls take longest.
                    loop.schedule(
                        {
                            running--
                            answer(TextResponse(200, body))
                        },
                        maxOf(0L, 20 - body.toLong()),
                        TimeUnit.MILLISECONDS,
                    )
                },
            ),
        )
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Guards against answers in another order than the calls, and against many calls in one turn of the loop. */
    @Test
    fun `calls of one connection are handled one after another`() {
        Socket("127.0.0.1", (service.localAddress() as InetSocketAddress).port).use { socket ->
            val calls = (0 until CALLS).joinToString("") {
                "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: ${"$it".length}\r\n\r\n$it"
            }
            socket.getOutputStream().write(calls.toByteArray())
            val lines = socket.getInputStream().bufferedReader()
            val bodies = (0 until CALLS).map { n ->
                generateSequence { lines.readLine() }.takeWhile { it.isNotEmpty() }.count()
                String(CharArray("$n".length) { lines.read().toChar() })
            }
            expectThat(bodies).isEqualTo((0 until CALLS).map { "$it" })
            expectThat(maxRunning).isEqualTo(1)
        }
    }

    private companion object {
        const val CALLS = 60
    }
}
