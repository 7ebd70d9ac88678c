package org.jujubelead.gateway.caller

import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@Timeout(20)
class PromptPartCrashTest {
    /** Crashes when it begins to answer a prompt with the part `dead`. */
    private fun engine() = FakeReplica { reply ->
        val parts = reply.request.headers[Headers.PROMPT_PARTS.lowercase()].orEmpty().split(',')
        reply.streamHead()
        if (parts.any { it.startsWith("dead:") }) {
            Thread.sleep(HEAD_DELIVERY_MILLIS)
            reply.crash()
        } else {
            reply.events(1..3)
            reply.endStream()
        }
    }

    /** Guards against taking the end of a crashed replica's connection for the end of an unframed stream. */
    @Test
    fun `an unframed stream that ends before its first event is no answer and counts against the prompt`() {
        val replicas = List(3) {
            FakeReplica { reply ->
                if ("dead:" in reply.request.headers[Headers.PROMPT_PARTS.lowercase()].orEmpty()) {
                    reply.unframedHead()
                    reply.stop()
                } else {
                    reply.unframedHead()
                    reply.raw("id: 1\ndata: e1\n\n")
                    reply.close()
                }
            }
        }
        GatewayFixture(*replicas.toTypedArray()).use { gateway ->
            fun answer(
                id: String,
                parts: String,
            ) = gateway.connect().request("/stream/x", id = id, extra = parts(parts))

            expectThat(answer("s0", "system:40,own0:9").body).isEqualTo("id: 1\ndata: e1\n\n")
            val deadly = List(3) { answer("d$it", "system:40,dead:7,ownd$it:9").status }
            expectThat(deadly).isEqualTo(listOf(502, 503, 503))
        }
        replicas.forEach { it.close() }
    }

    private fun parts(list: String) = "${Headers.PROMPT_PARTS}: $list\r\n"

    /** Guards against sending a prompt part that has crashed a replica to further replicas. */
    @Test
    fun `a prompt part that crashes replicas reaches one replica and sound prompts are served`() {
        val replicas = List(4) { engine() }
        GatewayFixture(*replicas.toTypedArray()).use { gateway ->
            fun status(id: String, parts: String) =
                gateway.connect().request("/stream/x", id = id, extra = parts(parts)).status

            expectThat(status("s0", "system:40,own0:9")).isEqualTo(200)
            val deadly = List(6) { status("d$it", "system:40,dead:7,ownd$it:9") }
            val reached = replicas.flatMap { it.requests }.count { it.id.startsWith("d") }
            expectThat(reached).isEqualTo(1)
            expectThat(deadly.drop(1)).isEqualTo(List(5) { 503 })
            expectThat(List(4) { status("s1$it", "system:40,own$it:9") }).isEqualTo(List(4) { 200 })
        }
        replicas.forEach { it.close() }
    }

    /** Guards against a request that crashes one replica after another, each time that its caller comes back. */
    @Test
    fun `a request that crashes its replica reaches no other one, and sound ones with its shared parts are served`() {
        val replicas = List(4) { engine() }
        GatewayFixture(*replicas.toTypedArray()).use { gateway ->
            fun status(id: String, parts: String) =
                gateway.connect().request("/stream/x", id = id, extra = parts(parts)).status

            expectThat(status("s0", "system:40,shop:5,own0:9")).isEqualTo(200)
            val deadly = List(5) { status("d$it", "system:40,shop:5,dead:9") }
            val reached = replicas.flatMap { it.requests }.count { it.id.startsWith("d") }
            expectThat(reached).isEqualTo(1)
            expectThat(deadly).isEqualTo(listOf(502) + List(4) { 503 })
            expectThat(List(4) { status("s1$it", "system:40,shop:5,own$it:9") }).isEqualTo(List(4) { 200 })
        }
        replicas.forEach { it.close() }
    }

    private companion object {
        /** A reset discards a head that the gateway has not read yet. */
        const val HEAD_DELIVERY_MILLIS = 100L
    }
}
