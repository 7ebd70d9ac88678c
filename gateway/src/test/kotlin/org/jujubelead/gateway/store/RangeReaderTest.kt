package org.jujubelead.gateway.store

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Replica
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.StoreContents
import org.jujubelead.platform.standins.StoreWriter
import org.jujubelead.platform.wire.StoreRequests
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Lists of several pages of which some cannot be read. */
@Timeout(20)
class RangeReaderTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val contents = StoreContents(maxPageItems = 1, nanos = System::nanoTime)
    private val writer = StoreWriter("h.example", contents::put)

    /** Replaces the answer to a request of the store if it returns one. */
    @Volatile
    private var fault: (path: String) -> TextResponse? = { null }

    @Volatile
    private var replicas: List<Replica> = emptyList()

    @Volatile
    private var calls = 0

    private inner class Store : RpcClient {
        override val endpoint = Endpoint("store", 1)

        override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit) {
            calls++
            val response = fault(path) ?: contents.call(path, "").let { TextResponse(it.status, it.body) }
            loop.execute { done(Ok(response)) }
        }

        override fun post(
            path: String,
            body: String,
            timeout: Duration?,
            done: (Result<TextResponse, CallFailure>) -> Unit,
        ) = error("the list is only read")

        override fun close() = Unit
    }

    private fun start() {
        for (i in 1..3) writer.replica("i$i", "s", "10.0.0.$i:80", "z", slots = 1)
        ReplicaPoller(
            store = StoreClient(Store(), EventLog()),
            loop = loop,
            log = EventLog(),
            pollInterval = 60.milliseconds,
            relay = ReplicaRelay(loop, ZoneId("z"), Endpoint("127.0.0.1", 1), EventLog(), 1.seconds),
            onChange = { replicas = it },
            onLost = {},
        ).start()
    }

    private fun await(vararg ids: String) {
        while (replicas.map { it.id.value } != ids.toList()) Thread.sleep(2)
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Guards against a process that has no replica at all because one page of the list cannot be read. */
    @Test
    fun `the pages before one that fails are used, and the list is read again`() {
        fault = { if (it.endsWith("after=servers/i2")) TextResponse(500, "") else null }
        start()
        await("i1", "i2")
        fault = { null }
        await("i1", "i2", "i3")
    }

    /** Guards against replicas that are taken for gone because the page with their entries cannot be read. */
    @Test
    fun `replicas on a page that fails are kept, and what other pages say counts`() {
        start()
        await("i1", "i2", "i3")
        fault = { if (it.endsWith("after=servers/i1")) TextResponse(200, "{") else null }
        writer.replica("i1", "s", "10.0.0.1:80", "z", slots = 1, draining = true)
        await("i2", "i3")
        Thread.sleep(300)
        expectThat(replicas.map { it.id.value }).containsExactly("i2", "i3")
    }

    /** Guards against a read without end. */
    @Test
    fun `a page that names itself as the next one ends the read`() {
        val page = contents.let {
            writer.replica("i1", "s", "10.0.0.1:80", "z", slots = 1)
            it.call(
                StoreRequests.pagePath(StoreRequests.REPLICAS, after = null),
                "",
            ).body.replace("\"hasMore\":false", "\"hasMore\":true")
        }
        fault = { TextResponse(200, page) }
        start()
        await("i1")
        val before = calls
        Thread.sleep(600)
        expectThat(calls - before).isLessThan(MAX_CALLS)
        fault = { null }
        await("i1", "i2", "i3")
    }

    /** Guards against a read that ends at a page without any usable entry. */
    @Test
    fun `a page of foreign entries is followed by the next one`() {
        for (i in 0..9) contents.put("servers/0 copy $i", "{}")
        start()
        await("i1", "i2", "i3")
        expectThat(replicas.size).isEqualTo(3)
    }

    private companion object {
        /** Two pages in each interval of 60 ms, and a margin. */
        const val MAX_CALLS = 40
    }
}
