package org.jujubelead.gateway.caller

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Streams of a faulty replica that go on as fast as they are read, beside requests that a sound one answers. */
@Timeout(60)
class EndlessStreamTest {
    /** What the replica repeats, as one chunk or as chunks of one byte. */
    enum class Flood(val bytesPerChunk: Int, val text: (Int) -> String) {
        LINE_FEEDS(4_096, { "\n" }),
        LINE_FEEDS_ONE_A_CHUNK(1, { "\n" }),
        CARRIAGE_RETURNS_ONE_A_CHUNK(1, { "\r" }),
        LINE_ENDS(4_096, { "\r\n" }),
        COMMENTS(4_096, { ": c\n\n" }),
        EVENTS_WITHOUT_ID(4_096, { "data: e\n\n" }),
        EVENTS_WITH_ONE_ID(4_096, { "id: 1\ndata: e\n\n" }),
        EVENTS_WITH_RISING_IDS(4_096, { "id: $it\ndata: e\n\n" }),
        LARGE_EVENTS(65_536, { "id: $it\ndata: ${"e".repeat(40_000)}\n\n" }),
    }

    private fun Reply.flood(kind: Flood) {
        streamHead()
        var i = 0
        while (true) {
            val text = StringBuilder()
            while (text.length < BATCH_BYTES) text.append(kind.text(++i))
            val chunks = StringBuilder()
            text.chunked(kind.bytesPerChunk).forEach { chunks.append("${it.length.toString(16)}\r\n$it\r\n") }
            raw(chunks.toString())
        }
    }

    private fun faultyReplica(kind: Flood) = FakeReplica {
        if ("/stream/" in it.request.line) it.flood(kind) else it.ok("small")
    }

    /** Reads and drops what the gateway sends, until the connection ends. */
    private fun GatewayFixture.readStream(id: String) = Thread {
        connect().use {
            it.post("/stream/x", id = id)
            it.rest()
        }
    }.apply { isDaemon = true }.start()

    /** Guards against a gateway that answers nobody while one replica sends events without end (review/6). */
    @ParameterizedTest
    @EnumSource(Flood::class)
    fun `requests of others are answered beside a stream without end`(kind: Flood) {
        faultyReplica(kind).use { replica ->
            GatewayFixture(replica).use { gateway ->
                repeat(STREAMS) { gateway.readStream("s$it") }
                Thread.sleep(200)
                val times = gateway.connect().use { caller ->
                    (1..REQUESTS).map { n ->
                        measureTime { expectThat(caller.request("/safe/x", id = "a$n").status).isEqualTo(200) }
                    }
                }
                expectThat(times).all { isLessThan(OBJECTIVE) }
            }
        }
    }

    /** Guards against a stream that a faulty replica keeps open until the deadline although it says nothing. */
    @ParameterizedTest
    @EnumSource(value = Flood::class, names = ["LINE_FEEDS", "LINE_ENDS", "EVENTS_WITH_ONE_ID"])
    fun `a stream without end that says nothing new ends its attempt`(kind: Flood) {
        faultyReplica(kind).use { replica ->
            GatewayFixture(replica, timeout = 10.seconds).use { gateway ->
                gateway.readStream("s")
                expectThat(replica.disconnected.await(1, TimeUnit.SECONDS)).isTrue()
            }
        }
    }

    /** Guards against the memory of a gateway that fills up with events that a caller does not read. */
    @Test
    fun `a stream is read no faster than its caller reads it`() {
        val events = 4_000
        val text = "e".repeat(10_000)
        val replica = FakeReplica { reply ->
            reply.streamHead()
            for (i in 1..events) reply.chunk("id: $i\ndata: $text\n\n")
            reply.endStream()
        }
        replica.use {
            GatewayFixture(replica, timeout = 30.seconds).use { gateway ->
                gateway.connect().use { caller ->
                    caller.post("/stream/x", extra = "")
                    Thread.sleep(1_000)
                    expectThat(gateway.unsentBytes()).isLessThan(MAX_UNSENT_BYTES)
                }
            }
        }
    }

    /** Guards against events that are lost or repeated when a replica sends many at once. */
    @Test
    fun `a burst of events arrives whole and in order`() {
        val events = (1..2_000).joinToString("") { "id: $it\ndata: e$it\n\n" }
        val replica = FakeReplica {
            it.streamHead()
            it.chunk(events)
            it.endStream()
        }
        replica.use {
            GatewayFixture(replica).use { gateway ->
                gateway.connect().use { caller ->
                    repeat(3) { n ->
                        val answer = caller.request("/stream/x", id = "a$n")
                        expectThat(answer.whole).isTrue()
                        expectThat(answer.body).isEqualTo(events)
                    }
                }
            }
        }
    }

    /** Guards against whole events that are dropped because the stream broke off behind them. */
    @Test
    fun `the events before a cut arrive`() {
        val events = (1..2_000).joinToString("") { "id: $it\ndata: e$it\n\n" }
        val replica = FakeReplica {
            it.streamHead()
            it.chunk(events + "id: 2001\ndata:")
            it.close()
        }
        replica.use {
            GatewayFixture(replica, streamAttempts = 1).use { gateway ->
                val answer = gateway.connect().request("/stream/x")
                expectThat(answer.body).isEqualTo(events)
                expectThat(answer.whole).isFalse()
            }
        }
    }

    private companion object {
        const val BATCH_BYTES = 65_536
        const val STREAMS = 3
        const val REQUESTS = 40

        /** The objective of the fixture's routes. */
        val OBJECTIVE = 300.milliseconds

        const val MAX_UNSENT_BYTES = 1024L * 1024
    }
}
