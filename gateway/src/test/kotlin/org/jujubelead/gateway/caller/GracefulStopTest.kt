package org.jujubelead.gateway.caller

import org.jujubelead.gateway.net.ProcessClock
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(20)
class GracefulStopTest {
    private fun GatewayFixture.stop(refuseAfter: Duration = Duration.ZERO): CompletableFuture<Int> {
        val cut = CompletableFuture<Int>()
        val now = ProcessClock.now()
        onLoop {
            GracefulStop(dataPlane, channel, refuseAt = now + refuseAfter, endBy = now + 5.seconds) { cut.complete(it) }
                .start()
        }
        return cut
    }

    /** Guards against a stop that closes a connection which was just accepted while its request is on the way. */
    @Test
    fun `the first request of a new connection is answered during a stop`() {
        FakeReplica { it.ok("") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val caller = gateway.connect()
                gateway.onLoop { }
                val stopped = gateway.stop()
                Thread.sleep(150)
                val answer = caller.request("/once/x")
                expectThat(answer.status).isEqualTo(503)
                expectThat(answer.headers["connection"]).isEqualTo("close")
                expectThat(stopped.get(2, TimeUnit.SECONDS)).isEqualTo(0)
                expectThat(replica.requests.size).isEqualTo(0)
            }
        }
    }

    /** Guards against requests that are cut when a stop meets load: each one ends with a complete response. */
    @Test
    fun `under load every request that a connection has accepted is answered`() {
        val replica = FakeReplica {
            Thread.sleep(30)
            it.ok("done")
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                // A first request that comes late meets a closed connection: all send once all have connected.
                val threads = Executors.newFixedThreadPool(CALLERS)
                val connected = CountDownLatch(CALLERS)
                val stopped = CompletableFuture<CompletableFuture<Int>>()
                val statuses = List(CALLERS) { i ->
                    val request = {
                        val c = gateway.connect()
                        connected.countDown()
                        connected.await()
                        if (i == CALLERS / 2) stopped.complete(gateway.stop(refuseAfter = 40.milliseconds))
                        c.request("/safe/x", id = "a$i").status
                    }
                    CompletableFuture.supplyAsync(request, threads)
                }.map { it.get(5, TimeUnit.SECONDS) }
                threads.shutdown()
                expectThat(statuses.filter { it != 200 && it != 503 }).isEmpty()
                expectThat(statuses.count { it == 200 }).isGreaterThan(0)
                expectThat(stopped.get().get(3, TimeUnit.SECONDS)).isEqualTo(0)
            }
        }
    }

    private companion object {
        const val CALLERS = 40
    }
}
