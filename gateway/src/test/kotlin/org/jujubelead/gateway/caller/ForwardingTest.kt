package org.jujubelead.gateway.caller

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.peers.SlowRankReport
import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

@Timeout(20)
class ForwardingTest {
    /** Guards against a key that reaches a replica, a workspace the caller chose, and a changed request. */
    @Test
    fun `a request reaches the replica with the workspace in place of the key`() {
        FakeReplica { it.ok("yes") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val answer = gateway.connect().request(
                    "/once/x?q=%20a",
                    body = "b",
                    extra = "${Headers.WORKSPACE}: other\r\nX-Own: 1\r\n",
                )
                expectThat(answer.status).isEqualTo(200)
                expectThat(answer.body).isEqualTo("yes")
                expectThat(answer.headers[Headers.REPLICA_SEAL.lowercase()]).isEqualTo("s")
                val seen = replica.requests.single()
                expectThat(seen.line).isEqualTo("POST /once/x?q=%20a HTTP/1.1")
                expectThat(seen.body).isEqualTo("b")
                expectThat(seen.headers[Headers.WORKSPACE.lowercase()]).isEqualTo("acme")
                expectThat(seen.headers["authorization"]).isNull()
                expectThat(seen.headers["x-own"]).isEqualTo("1")
                expectThat(seen.headers[Headers.EXPECTED_REPLICA.lowercase()]).isEqualTo("r0")
                expectThat(checkNotNull(seen.headers[Headers.DEADLINE.lowercase()]).toInt()).isLessThanOrEqualTo(1900)
            }
        }
    }

    /** Guards against answers of other requests: an id that is not this request's, or no seal. */
    @Test
    fun `an answer of another request, or without a seal, is not passed on`() {
        val answers = listOf<(Reply) -> Unit>(
            { it.ok("not yours", id = "other") },
            { it.raw("HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: ${it.request.id}\r\nContent-Length: 2\r\n\r\nno") },
        )
        for (answer in answers) {
            FakeReplica(answer).use { replica ->
                GatewayFixture(replica).use { gateway ->
                    val got = gateway.connect().request("/once/x")
                    expectThat(got.status).isEqualTo(502)
                    expectThat(got.body).isEmpty()
                }
            }
        }
    }

    /** Guards against stray bytes after an answer that become the next answer. */
    @Test
    fun `bytes after an answer belong to nobody`() {
        val count = AtomicInteger()
        val replica = FakeReplica {
            val first = count.incrementAndGet() == 1
            it.ok("answer to ${it.request.id}")
            if (first) it.ok("stray")
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                expectThat(caller.request("/once/x", id = "a1").body).isEqualTo("answer to a1")
                expectThat(caller.request("/once/x", id = "a2").body).isEqualTo("answer to a2")
            }
        }
    }

    /** Guards against a body that is cut and still looks whole. */
    @Test
    fun `a cut answer is a failure, and an idempotent request is tried elsewhere`() {
        val cutting = FakeReplica {
            it.raw(
                "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: ${it.request.id}\r\n${Headers.REPLICA_SEAL}: s\r\nContent-Length: 10\r\n\r\nhalf",
            )
            it.close()
        }
        val sound = FakeReplica { it.ok("whole") }
        cutting.use {
            sound.use {
                GatewayFixture(cutting).use { expectThat(it.connect().request("/once/x").status).isEqualTo(502) }
                GatewayFixture(cutting, sound).use { gateway ->
                    expectThat(gateway.connect().request("/safe/x").body).isEqualTo("whole")
                }
            }
        }
    }

    /** Guards against a second run, and against "not run" where it is not known. */
    @Test
    fun `a request that may run once is never sent again after it was written`() {
        val resetting = FakeReplica { it.reset() }
        val sound = FakeReplica { it.ok("second run") }
        resetting.use {
            sound.use {
                GatewayFixture(resetting, sound).use { gateway ->
                    expectThat(gateway.connect().request("/once/x").status).isEqualTo(502)
                    expectThat(sound.requests).isEmpty()
                }
            }
        }
    }

    /** Guards against a refusal that does not say when to come back. */
    @Test
    fun `what a replica did not run is refused with a pause`() {
        FakeReplica { it.full() }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val answer = gateway.connect().request("/once/x")
                expectThat(answer.status).isEqualTo(503)
                expectThat(answer.headers["retry-after"]).isNotNull()
                expectThat(answer.headers[Headers.REPLICA_SEAL.lowercase()]).isNull()
            }
        }
    }

    /** Guards against events that are lost, repeated or half when a stream goes on elsewhere. */
    @Test
    fun `a stream that breaks goes on at the next event on another replica`() {
        val breaking = FakeReplica {
            it.streamHead()
            it.events(1..3)
            it.chunk("id: 4\nda")
            it.reset()
        }
        val second = FakeReplica {
            it.streamHead()
            it.events(3..6)
            it.endStream()
        }
        breaking.use {
            second.use {
                GatewayFixture(breaking, second).use { gateway ->
                    val answer = gateway.connect().request("/stream/x")
                    val events = (1..6).joinToString("") { "id: $it\ndata: e$it\n\n" }
                    expectThat(answer.body).isEqualTo(events)
                    expectThat(answer.whole).isTrue()
                    expectThat(second.requests.single().headers[Headers.LAST_EVENT_ID.lowercase()]).isEqualTo("3")
                }
            }
        }
    }

    /** Guards against a broken stream that looks complete. */
    @Test
    fun `a stream that cannot go on ends without its end`() {
        val breaking = FakeReplica {
            it.streamHead()
            it.events(1..2)
            it.reset()
        }
        breaking.use {
            GatewayFixture(breaking).use { gateway ->
                val answer = gateway.connect().request("/stream/x")
                expectThat(answer.body).contains("e2")
                expectThat(answer.whole).isFalse()
            }
        }
    }

    /** Guards against work that goes on for a caller that has left. */
    @Test
    fun `a caller that leaves ends the work at the replica`() {
        FakeReplica { if (it.request.id == "gone") Thread.sleep(50) else it.ok("") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/once/x", id = "gone")
                while (replica.requests.isEmpty()) Thread.sleep(5)
                val leftAt = System.nanoTime()
                caller.close()
                expectThat(replica.left.await(2, TimeUnit.SECONDS)).isTrue()
                expectThat((System.nanoTime() - leftAt) / 1_000_000).isLessThanOrEqualTo(500)
            }
        }
    }

    /**
     * Guards against a request that reaches a replica long after its caller has left: bytes that are held up on the way
     * to a suspended instance are dropped by a reset, and delivered before an ordinary close.
     */
    @Test
    fun `a request under way is reset when its caller leaves`() {
        FakeReplica { Thread.sleep(100) }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                caller.post("/stream/x", id = "gone")
                while (replica.requests.isEmpty()) Thread.sleep(5)
                caller.close()
                expectThat(replica.left.await(2, TimeUnit.SECONDS)).isTrue()
                expectThat(replica.wasReset).isTrue()
            }
        }
    }

    /** Guards against a request that is hidden in another one's body. */
    @Test
    fun `a request with two lengths is refused and reaches no replica`() {
        FakeReplica { it.ok("") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val hidden = "GET /once/hidden HTTP/1.1\r\n\r\n"
                val caller = gateway.connect()
                caller.send(
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\n${Headers.REQUEST_ID}: a\r\n" +
                        "Authorization: ${Headers.AUTH_SCHEME} good-key\r\n" +
                        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n$hidden",
                )
                expectThat(caller.answer().status).isEqualTo(400)
                expectThat(replica.requests).isEmpty()
            }
        }
    }

    /** Guards against unknown keys, and against keys that may have been revoked meanwhile. */
    @Test
    fun `keys are checked, and not trusted on an old configuration`() {
        FakeReplica { it.ok("") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                expectThat(gateway.connect().request("/once/x", key = "bad-key").status).isEqualTo(401)
                expectThat(gateway.connect().request("/none/x").status).isEqualTo(404)
                gateway.setConfigurationAge(4.seconds)
                val stale = gateway.connect().request("/once/x")
                expectThat(stale.status).isEqualTo(503)
                expectThat(stale.headers["connection"]).isEqualTo("close")
                expectThat(replica.requests).isEmpty()
            }
        }
    }

    /** Guards against a stop that cuts answers, and against connections that stay open for nothing. */
    @Test
    fun `while it stops, the gateway completes streams and closes connections after their answer`() {
        val replica = FakeReplica {
            if (it.request.line.contains("/stream/")) {
                it.streamHead()
                it.events(1..1)
                Thread.sleep(300)
                it.events(2..2)
                it.endStream()
            } else {
                it.ok("last")
            }
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                val streaming = gateway.connect()
                streaming.post("/stream/x")
                while (replica.requests.isEmpty()) Thread.sleep(5)
                gateway.onLoop { gateway.dataPlane.draining = true }
                expectThat(gateway.connect().request("/once/x", id = "a2").headers["connection"]).isEqualTo("close")
                expectThat(streaming.answer()).and {
                    get { body }.contains("e2")
                    get { whole }.isTrue()
                }
            }
        }
    }

    /** Guards against a silent replica that holds an idempotent request until its deadline. */
    @Test
    fun `an idempotent request moves on from a silent replica, within its attempts`() {
        val silent = FakeReplica { Thread.sleep(1_500) }
        val sound = FakeReplica { it.ok("moved") }
        silent.use {
            sound.use {
                GatewayFixture(silent, sound).use { gateway ->
                    expectThat(gateway.connect().request("/safe/x").body).isEqualTo("moved")
                    expectThat(silent.requests + sound.requests).hasSize(2)
                }
                GatewayFixture(silent).use { gateway ->
                    val at = System.nanoTime()
                    expectThat(gateway.connect().request("/once/x", id = "a3").status).isEqualTo(504)
                    expectThat((System.nanoTime() - at) / 1_000_000).isGreaterThan(1_300)
                }
            }
        }
    }
}
