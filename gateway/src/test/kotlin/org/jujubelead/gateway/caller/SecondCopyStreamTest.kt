package org.jujubelead.gateway.caller

import io.netty.buffer.Unpooled
import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Replicas that send a second copy of an answer behind a stream that only the end of the connection ends. */
@Timeout(20)
class SecondCopyStreamTest {
    private val events = (1..2).joinToString("") { "id: $it\ndata: e$it\n\n" }
    private val head = "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: a1\r\n${Headers.REPLICA_SEAL}: s\r\n" +
        "Content-Type: text/event-stream\r\n\r\n"

    /** Guards against the head of the copy that a caller takes for an event. */
    @Test
    fun `a stream that goes on with a second head is resumed after its last event`() {
        val doubling = FakeReplica {
            it.unframedHead()
            it.raw(events + head + events)
            it.close()
        }
        val second = FakeReplica {
            it.streamHead()
            it.events(3..3)
            it.endStream()
        }
        doubling.use {
            second.use {
                GatewayFixture(doubling, second).use { gateway ->
                    val answer = gateway.connect().request("/stream/x")
                    expectThat(answer.body).isEqualTo(events + "id: 3\ndata: e3\n\n")
                    expectThat(answer.whole).isTrue()
                    expectThat(second.requests.single().headers[Headers.LAST_EVENT_ID.lowercase()]).isEqualTo("2")
                }
            }
        }
    }

    /** Guards against a copy that follows an event which was cut, so that its head begins within a line. */
    @Test
    fun `no byte of a second head is part of an event, wherever the stream before it was cut`() {
        val refusal = "HTTP/1.1 503 Full\r\n${Headers.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
        for (cut in 0..events.length) {
            for (copy in listOf(head, head.lowercase(), refusal)) {
                val forwarded = StringBuilder()
                val splitter = EventStreamSplitter()
                val goesOn = (events.take(cut) + copy).all {
                    splitter.append(Unpooled.copiedBuffer("$it", Charsets.UTF_8))
                    splitter.removeEvents(forwarded)
                }
                val whole = events.take(cut).split("\n\n").dropLast(1).joinToString("") { "$it\n\n" }
                expectThat(goesOn to "$forwarded").describedAs("$cut $copy").isEqualTo(false to whole)
            }
        }
    }

    /** Adds all whole events to [to]. Returns false if the stream cannot be continued. */
    private fun EventStreamSplitter.removeEvents(to: StringBuilder): Boolean {
        while (true) {
            when (val part = next()) {
                is StreamPart.Event -> to.append(part.bytes.toString(Charsets.UTF_8))
                is StreamPart.BlankLine -> to.append('\n')
                is StreamPart.Incomplete -> return true
                is StreamPart.Invalid -> return false
            }
        }
    }
}
