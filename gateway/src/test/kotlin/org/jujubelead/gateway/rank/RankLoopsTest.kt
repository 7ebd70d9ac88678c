package org.jujubelead.gateway.rank

import com.github.michaelbull.result.Result
import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.CallHandler
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.wire.DecodeError
import org.jujubelead.platform.wire.HeldExperts
import org.jujubelead.platform.wire.WireDecoders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** Orders to a rank whose answers cannot be handled. */
@Timeout(20)
class RankLoopsTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val report =
        """{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":1,"step":20,"mapping":0,"prepared":null}"""
    private val failing = AtomicBoolean()

    private val decoders = object : WireDecoders by WireDecoders {
        override fun rankReport(body: String, sentAt: Timestamp): Result<RankObservation, DecodeError> =
            if (failing.get()) throw LinkageError("report") else WireDecoders.rankReport(body, sentAt)

        override fun heldExperts(body: String): Result<HeldExperts, DecodeError> =
            if (failing.get()) throw LinkageError("experts") else WireDecoders.heldExperts(body)
    }

    private fun serve(calls: Map<String, CallHandler>): Endpoint {
        val channel: Channel = listen(Endpoint("127.0.0.1", 0), group) { servicePipeline(calls) }
        return Endpoint("127.0.0.1", (channel.localAddress() as InetSocketAddress).port)
    }

    private val replica = serve(
        mapOf(
            "/order" to { _, answer -> answer(TextResponse(200, "")) },
            "/report" to { _, answer -> answer(TextResponse(200, report)) },
        ),
    )

    /** Creates the client of a rank whose agent answers orders with [result]. */
    private fun clientOf(result: String): RankClient {
        val agent = serve(mapOf(RankPaths.ORDER to { _, answer -> answer(TextResponse(200, result)) }))
        return RankClient(GroupId("g"), agent, replica, term = 1, AgentRuntime(loop, EventLog()), decoders).apply {
            onReading(readingOf(report, readAtMicros = 1))
        }
    }

    private fun send(client: RankClient): Boolean {
        val sent = CompletableFuture<Boolean>()
        loop.execute {
            val due = client.send(MapOrder.Hold(30), silenceTimeout = 5.seconds) { sent.complete(true) }
            if (!due) sent.complete(false)
        }
        return sent.get(5, TimeUnit.SECONDS)
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Guards against a rank that gets no further orders, while its group is held, after one answer of its agent. */
    @Test
    fun `an answer to an order that cannot be read does not leave the order in flight`() {
        for (answer in listOf("<html>", "{\"status\":\"ok\"}", "[".repeat(50_000))) {
            val client = clientOf(answer)
            expectThat(send(client)).isTrue()
            Thread.sleep(100)
            expectThat(send(client)).isTrue()
            expectThat(client.silent(ProcessClock.now(), silenceTimeout = 5.seconds)).isTrue()
        }
    }

    @Test
    fun `a reading that cannot be decoded does not leave the order in flight`() {
        val whole = rankJson.encodeToString(OrderResult.serializer(), OrderResult(503, readingOf(report, 2)))
        val text = whole.substringAfter("\"observed\":\"").substringBefore('"')
        for (malformed in listOf("", "%", text.take(8), "/".repeat(text.length))) {
            val client = clientOf(whole.replace(text, malformed))
            expectThat(send(client)).isTrue()
            Thread.sleep(100)
            expectThat(send(client)).isTrue()
        }
    }

    /** Guards against an order to prepare a map whose coordinator gets no answer. */
    @Test
    fun `an order is answered although the reports after it cannot be handled`() {
        failing.set(true)
        val result = CompletableFuture<OrderResult>()
        val rank = LocalRank(HttpClient(replica, loop, 1.seconds), AgentRuntime(loop, EventLog()), decoders)
        loop.execute { rank.send("{}", ExpectedState(prepared = 7), onAnswer = {}) { result.complete(it) } }
        expectThat(result.get(5, TimeUnit.SECONDS).status).isEqualTo(200)
    }
}
