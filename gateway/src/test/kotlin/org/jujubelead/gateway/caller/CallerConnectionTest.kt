package org.jujubelead.gateway.caller

import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

@Timeout(20)
class CallerConnectionTest {
    private fun Reply.stream(ids: IntRange) {
        streamHead()
        events(ids)
        endStream()
    }

    private fun Reply.notFound() = raw(
        "HTTP/1.1 404 Not Found\r\n${Headers.REQUEST_ID}: ${request.id}\r\n${Headers.REPLICA_SEAL}: s\r\n" +
            "Content-Length: 0\r\n\r\n",
    )

    /** Guards against a second head within a stream, after which the next answer is written into the same stream. */
    @Test
    fun `a stream whose second replica answers without a stream is cut, and takes no bytes of the next answer`() {
        val first = FakeReplica {
            if (it.request.id == "a2") return@FakeReplica it.stream(71..73)
            it.streamHead()
            it.events(1..2)
            it.reset()
        }
        val second = FakeReplica { if (it.request.id == "a2") it.stream(71..73) else it.notFound() }
        first.use {
            second.use {
                GatewayFixture(first, second).use { gateway ->
                    val caller = gateway.connect()
                    caller.post("/stream/x", id = "a1")
                    caller.post("/stream/x", id = "a2")
                    val answer = caller.answer()
                    expectThat(answer.body).isEqualTo("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
                    expectThat(answer.whole).isFalse()
                    expectThat(caller.ended()).isTrue()
                }
            }
        }
    }

    /** Guards against a rejection that closes the connection before the answers to earlier requests. */
    @Test
    fun `a malformed request is rejected after the answers to the requests before it`() {
        val replica = FakeReplica {
            Thread.sleep(200)
            it.ok("answer to ${it.request.id}")
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/once/x", id = "a1")
                caller.post("/once/x", id = "a2")
                caller.send("POST /once/x HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                expectThat(caller.answer().body).isEqualTo("answer to a1")
                expectThat(caller.answer().body).isEqualTo("answer to a2")
                expectThat(caller.answer().status).isEqualTo(400)
                expectThat(caller.ended()).isTrue()
            }
        }
    }

    /** Guards against a rejection that comes while the next request in turn has not started. */
    @Test
    fun `a rejection is not taken for the answer to an earlier request`() {
        val replica = FakeReplica {
            Thread.sleep(100)
            it.ok("answer to ${it.request.id}")
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/once/x", id = "a1")
                caller.post("/once/x", id = "a2")
                while (replica.requests.isEmpty()) Thread.sleep(5)
                // The event loop then finds the answer of the replica and the malformed request in one iteration.
                gateway.onLoop {
                    Thread.sleep(200)
                    caller.send("POST /once/x HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                }
                expectThat(caller.answer().body).isEqualTo("answer to a1")
                expectThat(caller.answer().body).isEqualTo("answer to a2")
                expectThat(caller.answer().status).isEqualTo(400)
            }
        }
    }

    /** Guards against an interim response that comes before the answer to an earlier request. */
    @Test
    fun `a pipelined request is asked for its body after the answers to the requests before it`() {
        val replica = FakeReplica {
            Thread.sleep(200)
            it.ok("answer to ${it.request.id}")
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/once/x", id = "a1")
                caller.send(
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\n${Headers.REQUEST_ID}: a2\r\n" +
                        "Authorization: ${Headers.AUTH_SCHEME} good-key\r\nContent-Length: 1\r\n" +
                        "Expect: 100-continue\r\n\r\n",
                )
                expectThat(caller.answer().body).isEqualTo("answer to a1")
                expectThat(caller.head().status).isEqualTo(100)
                caller.send("b")
                expectThat(caller.answer().body).isEqualTo("answer to a2")
            }
        }
    }

    /** Guards against the end of a chunked body that is read as the next answer. */
    @Test
    fun `the answer to a HEAD request has no body, also for a stream`() {
        val replica = FakeReplica {
            when {
                it.request.line.startsWith("HEAD") -> it.raw(
                    "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: ${it.request.id}\r\n${Headers.REPLICA_SEAL}: s\r\n" +
                        "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n",
                )

                else -> it.ok("answer to ${it.request.id}")
            }
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/stream/x", id = "a1", method = "HEAD")
                expectThat(caller.head().status).isEqualTo(200)
                expectThat(caller.request("/once/x", id = "a2").body).isEqualTo("answer to a2")
            }
        }
    }

    /** Guards against a body without a valid length that is read as the next request. */
    @Test
    fun `a request with a transfer coding other than chunked is rejected, and its body is not a request`() {
        val codings = listOf(
            "identity",
            "gzip",
            "xchunked",
            "chunked, identity",
            "gzip, chunked",
            "chunked\r\nTransfer-Encoding: gzip",
        )
        FakeReplica { it.ok("") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val statuses = codings.map { coding ->
                    val caller = gateway.connect()
                    caller.send(
                        "POST /once/x HTTP/1.1\r\nHost: h.example\r\n${Headers.REQUEST_ID}: a\r\n" +
                            "Authorization: ${Headers.AUTH_SCHEME} good-key\r\nTransfer-Encoding: $coding\r\n\r\n",
                    )
                    caller.post("/once/hidden", id = "hidden")
                    caller.answer().status
                }
                Thread.sleep(100)
                expectThat(replica.requests.map { it.line }).isEmpty()
                expectThat(statuses).isEqualTo(codings.map { 400 })
            }
        }
    }

    /** Guards against a tunnel to a replica, on which the answer to the next request has no head. */
    @Test
    fun `a CONNECT request is rejected, and leaves no connection without answers`() {
        FakeReplica { it.ok("") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/once/x", id = "a1", method = "CONNECT")
                val rejected = caller.answer()
                val next = gateway.connect().request("/once/x", id = "a2")
                expectThat(next.status).isEqualTo(200)
                expectThat(rejected.status).isEqualTo(501)
                expectThat(replica.requests.map { it.line }).isEqualTo(listOf("POST /once/x HTTP/1.1"))
            }
        }
    }

    /** Guards against chunk sizes that a caller of HTTP/1.0 takes for content. */
    @Test
    fun `a stream to a caller of HTTP 1_0 is not chunked`() {
        FakeReplica { it.stream(1..2) }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/stream/x", version = "HTTP/1.0", extra = "Connection: keep-alive\r\n")
                val head = caller.head()
                expectThat(head.headers["transfer-encoding"]).isNull()
                expectThat(head.headers["connection"]).isEqualTo("close")
                expectThat(caller.rest()).isEqualTo("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
            }
        }
    }

    /** Guards against a cut that looks like the end of a stream, which the end of the connection is in HTTP/1.0. */
    @Test
    fun `a cut stream to a caller of HTTP 1_0 is reset`() {
        val replica = FakeReplica {
            it.streamHead()
            it.events(1..2)
            it.reset()
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/stream/x", version = "HTTP/1.0")
                expectThat(caller.head().status).isEqualTo(200)
                expectThat(caller.rest()).isNull()
            }
        }
    }

    /** Guards against a request whose missing end is taken for its end: the replica would act on a part of it. */
    @Test
    fun `a request whose connection ends within its body reaches no replica`() {
        val begun = listOf(
            "POST /once/x HTTP/1.1\r\n$IDENTITY\r\nContent-Length: 10\r\n\r\npart",
            "POST /once/x HTTP/1.1\r\n$IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
            "POST /once/x HTTP/1.1\r\n$IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
            "POST /once/x HTTP/1.1\r\n$IDENTITY\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n",
        )
        val ends = listOf<(GatewayFixture.Caller) -> Unit>({ it.halfClose() }, { it.close() }, { it.reset() })
        FakeReplica { it.ok("done") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                for (text in begun) {
                    for (end in ends) {
                        val caller = gateway.connect()
                        caller.send(text)
                        Thread.sleep(20)
                        end(caller)
                    }
                }
                Thread.sleep(300)
                expectThat(replica.requests.map { it.body }).isEmpty()
                expectThat(gateway.connect().request("/once/x", id = "a2").body).isEqualTo("done")
            }
        }
    }

    private companion object {
        const val IDENTITY = "Host: h.example\r\n${Headers.REQUEST_ID}: a1\r\n${Headers.DEADLINE}: 1900\r\n" +
            "Authorization: ${Headers.AUTH_SCHEME} good-key"
    }
}
