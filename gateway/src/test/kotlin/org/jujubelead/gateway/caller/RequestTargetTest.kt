package org.jujubelead.gateway.caller

import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@Timeout(20)
class RequestTargetTest {
    /** Guards against a replica that gets another target than its caller has sent. */
    @Test
    fun `a target reaches the replica with the bytes that were sent`() {
        val targets = listOf("/safe/caf\u00E9", "/safe/x?q=\u20AC&r=%20", "/safe/%C3%A9", "/safe/x?a=b&&c=#")
        FakeReplica { it.ok("fine") }.use { replica ->
            GatewayFixture(replica).use { gateway ->
                val statuses = targets.mapIndexed { i, target ->
                    gateway.connect().use { it.request(target, id = "a$i").status }
                }
                expectThat(statuses).isEqualTo(targets.map { 200 })
                // The replica decodes bytes as Latin-1.
                val sent = targets.map { String(it.toByteArray(), Charsets.ISO_8859_1) }
                expectThat(replica.requests.map { it.line.split(' ')[1] }).isEqualTo(sent)
                expectThat(replica.requests.map { it.headers[Headers.REQUEST_ID.lowercase()] })
                    .isEqualTo(targets.indices.map { "a$it" })
            }
        }
    }
}
