package org.jujubelead.gateway.caller

import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

@Timeout(20)
class ReplicaLimitTest {
    private fun Reply.okWithLimit(perSecond: Double) = raw(
        "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: ${request.id}\r\n${Headers.REPLICA_SEAL}: s\r\n" +
            "${Headers.REQUEST_LIMIT}: $perSecond\r\nContent-Length: 2\r\n\r\nok",
    )

    /** Guards against sending a replica more requests than the limit that it names while another one has capacity. */
    @Test
    fun `a replica that names a limit gets no more and other replicas serve the rest`() {
        val limited = FakeReplica { it.okWithLimit(0.5) }
        val other = FakeReplica { it.ok("ok") }
        GatewayFixture(limited, other).use { gateway ->
            val statuses = List(30) { gateway.connect().request("/safe/x", id = "q$it").status }
            expectThat(statuses).isEqualTo(List(30) { 200 })
            // One and a half times the limit over four seconds, and five requests.
            expectThat(limited.requests.size).isLessThanOrEqualTo(8)
        }
        limited.close()
        other.close()
    }
}
