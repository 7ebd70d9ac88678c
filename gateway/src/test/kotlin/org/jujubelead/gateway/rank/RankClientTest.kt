package org.jujubelead.gateway.rank

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.expertmap.ArmedMap
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.telemetry.EventLog
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

@Timeout(20)
class RankClientTest {
    private val group = NioEventLoopGroup(1)
    private val replicaOrders = ConcurrentLinkedQueue<String>()
    private val armed = """{"version":7,"step":30}"""

    private fun report(armed: String) =
        """{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":1,"step":20,"mapping":0,"prepared":7,""" +
            """"armed":$armed,"held":30}"""

    private val replica = listen(Endpoint("127.0.0.1", 0), group) {
        servicePipeline(
            mapOf(
                "/order" to { body, answer ->
                    replicaOrders += body
                    answer(TextResponse(200, ""))
                },
                "/report" to { _, answer -> answer(TextResponse(200, report(armed))) },
            ),
        )
    }

    /** A suspended agent: it accepts connections and never responds. */
    private val agent = listen(Endpoint("127.0.0.1", 0), group) {
        servicePipeline(mapOf(RankPaths.ORDER to { _, _ -> }))
    }

    private fun endpoint(of: Channel) = Endpoint(
        "127.0.0.1",
        (of.localAddress() as InetSocketAddress).port,
    )

    private val client = RankClient(
        GroupId("g"),
        endpoint(agent),
        endpoint(replica),
        term = 1,
        runtime = AgentRuntime(group.next(), EventLog()),
    ).apply {
        onReading(readingOf(report("null"), readAtMicros = 1))
    }

    private fun send(order: MapOrder) {
        val done = CompletableFuture<Unit>()
        group.next().execute {
            if (!client.send(order, silenceTimeout = 5.seconds) { done.complete(Unit) }) done.complete(Unit)
        }
        done.get()
        Thread.sleep(80)
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Guards against a group that stays held while one agent is suspended. */
    @Test
    fun `orders that end a hold bypass a silent agent`() {
        val arm = MapOrder.Arm(MapVersion(7), 30)
        send(arm)
        expectThat(replicaOrders).isEmpty()
        send(arm)
        expectThat(replicaOrders.size).isEqualTo(1)
        expectThat(client.observation?.armed).isEqualTo(ArmedMap(MapVersion(7), 30))
    }

    /**
     * Guards against a deposed coordinator that begins a change by bypassing the agents, which would refuse its order.
     */
    @Test
    fun `orders that begin a change never bypass the agent`() {
        repeat(2) { send(MapOrder.Hold(30)) }
        repeat(2) { send(MapOrder.Prepare(MapVersion(8), emptyList())) }
        expectThat(replicaOrders).isEmpty()
    }

    /** Guards against a hold that takes effect while its agent is suspended and that the coordinator never observes. */
    @Test
    fun `a rank with a silent agent is read directly from its replica`() {
        send(MapOrder.Hold(30))
        val read = CompletableFuture<Unit>()
        group.next().execute { client.readDirectly { read.complete(Unit) } }
        read.get()
        expectThat(client.observation?.heldAt).isEqualTo(30)
    }
}
