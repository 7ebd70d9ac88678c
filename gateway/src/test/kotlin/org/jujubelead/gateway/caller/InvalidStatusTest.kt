package org.jujubelead.gateway.caller

import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Responses that are complete and sealed, with a status that no final response has. */
@Timeout(30)
class InvalidStatusTest {
    private enum class Framing(val fields: String, val body: String) {
        LENGTH("Content-Length: 5\r\n", "stray"),
        CHUNKS("Transfer-Encoding: chunked\r\n", "5\r\nstray\r\n0\r\n\r\n"),
        NO_LENGTH("", "stray"),
        EMPTY("Content-Length: 0\r\n", ""),
    }

    private fun Reply.answer(status: String, framing: Framing, extra: String = "") = raw(
        "HTTP/1.1 $status X\r\n${Headers.REQUEST_ID}: ${request.id}\r\n${Headers.REPLICA_SEAL}: s\r\n" +
            "$extra${framing.fields}\r\n${framing.body}",
    )

    private fun expect(path: String, status: Int, answer: (Reply) -> Unit) {
        FakeReplica(answer).use { faulty ->
            FakeReplica { it.ok("sound") }.use { sound ->
                GatewayFixture(faulty, sound).use { gateway ->
                    val (response, took) = measureTimedValue { gateway.connect().request(path) }
                    expectThat(response.status).isEqualTo(status)
                    expectThat(took).isLessThan(1.seconds)
                }
            }
        }
    }

    /** Guards against a response that is passed on although its status means nothing, and against a wait for another. */
    @ParameterizedTest
    @ValueSource(strings = ["000", "001", "099", "101", "150", "199", "600", "999"])
    fun `a response with an invalid status is none, and its caller is answered at once`(status: String) {
        for (framing in Framing.entries) {
            expect("/once/x", status = 502) { it.answer(status, framing) }
            expect("/safe/x", status = 200) { it.answer(status, framing) }
            expect("/stream/x", status = 200) {
                it.answer(status, framing, extra = "Content-Type: ${Headers.EVENT_STREAM}\r\n")
            }
        }
    }

    /** Guards against the body of a response that has none, which would be read as the next response. */
    @Test
    fun `a response without content that announces a body is none`() {
        expect("/once/x", status = 502) { it.answer("204", Framing.LENGTH) }
        expect("/once/x", status = 502) { it.answer("204", Framing.CHUNKS) }
        expect("/once/x", status = 204) { it.answer("204", Framing.EMPTY) }
    }

    /** Guards against sound replicas whose interim responses are taken for faulty ones. */
    @Test
    fun `an interim response is followed by the final one`() {
        expect("/once/x", status = 200) {
            it.raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
            it.ok("late")
        }
    }
}
