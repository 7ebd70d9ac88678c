package org.jujubelead.gateway.rank

import com.github.michaelbull.result.Result
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.store.Term
import org.jujubelead.gateway.net.CallHandler
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.wire.DecodeError
import org.jujubelead.platform.wire.HeldExperts
import org.jujubelead.platform.wire.WireDecoders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A coordinator with the agents of a large group, which relay orders as agents do and whose replicas are simulated. */
@Timeout(30)
class GroupCoordinatorTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val runtime = AgentRuntime(loop, EventLog())
    private val received = ConcurrentLinkedQueue<RankOrder>()

    private inner class Agent(val rank: Int) {
        private val relay = OrderRelay(runtime)
        private val maps = MapCache()

        @Volatile
        var prepared: Long? = null

        /** True for an agent that has just been restarted: it knows no map. */
        var forgetful = false

        /** Group that the rank belongs to. */
        var memberOf = GROUP
        private val firstReplicaPort get() = if (memberOf == GROUP) 1 else 1 + RANKS

        /** Version of the map whose experts the rank names. */
        @Volatile
        var heldVersion = 0

        private val calls = mapOf<String, CallHandler>(
            RankPaths.ORDER to ::handle,
            RankPaths.HELD_EXPERTS to { _, answer -> answer(TextResponse(200, heldExperts())) },
        )
        private val channel = listen(Endpoint("127.0.0.1", 0), group) { servicePipeline(calls) }
        val address = "127.0.0.1:${(channel.localAddress() as InetSocketAddress).port}"

        private fun handle(body: String, answer: (TextResponse) -> Unit) {
            val order = rankJson.decodeFromString(RankOrder.serializer(), body)
            received += order
            val known = if (forgetful) order.prepare?.copy(initial = null) else order.prepare
            val map = known?.let { maps.resolve(it) ?: return answer(TextResponse(404, "")) }
            if (known != null) prepared = known.version
            relay.send(order, map) { relayed ->
                val result = OrderResult(202, reading(), relayed)
                answer(TextResponse(200, rankJson.encodeToString(OrderResult.serializer(), result)))
            }
        }

        private fun report() =
            """{"group":{"name":"g","epoch":1,"rank":$rank,"state":"open"},"size":$RANKS,"step":20,"mapping":0,""" +
                """"prepared":$prepared,"armed":null,"held":null}"""

        private fun heldExperts() =
            """{"mapping":{"version":$heldVersion,"experts":[[$rank,${rank + RANKS}]]},"prepared":null}"""

        fun reading() = readingOf(report(), ProcessClock.now().micros)

        fun status(choices: CompactCounts, replicaPort: Int = firstReplicaPort + rank) = RankStatus(
            group = memberOf,
            term = 1,
            agent = address,
            replica = "127.0.0.1:$replicaPort",
            observed = reading(),
            firstSet = 0,
            choices = choices.text,
            choiceUnit = choices.unit,
        )
    }

    /** Number of times that the experts of a rank cannot be decoded. */
    private val heldExpertsFailures = AtomicInteger()

    private val coordinator = GroupCoordinator(
        runtime = runtime,
        group = GROUP,
        layout = ExpertLayout(
            sets = 1,
            experts = 2 * RANKS,
            slotsPerRank = 3,
            spareSlotsPerRank = 2,
            expertShare = 0.8,
        ),
        since = Term(1),
        ownRank = { 0 },
        reportOwnRank = {},
        confirmLeadership = { it(false) },
        reporter = SlowRankReporter(
            "127.0.0.1",
            ServiceId("s"),
            GROUP,
            1,
            StoreClient(HttpClient(Endpoint("127.0.0.1", 1), loop, 1.seconds), EventLog()),
            loop,
        ),
        planInterval = 100.milliseconds,
        decoders = object : WireDecoders by WireDecoders {
            override fun heldExperts(body: String): Result<HeldExperts, DecodeError> {
                if (heldExpertsFailures.getAndDecrement() > 0) throw LinkageError("held experts")
                return WireDecoders.heldExperts(body)
            }
        },
    )

    /** Reports that the tokens of all ranks chose mostly the first few experts, until all agents have a new map, or for [seconds]. */
    private fun reportUntilPrepared(agents: List<Agent>, seconds: Long = 10) {
        val counts = CompactCounts.of(List(2 * RANKS) { 250 / (it + 1) + 1 })
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
        while (agents.any { it.prepared == null } && System.nanoTime() < until) {
            loop.submit { agents.forEach { coordinator.onStatus(it.status(counts)) } }.sync()
            Thread.sleep(50)
        }
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Guards against a map change that takes seconds because one small link carries a map for each rank. */
    @Test
    fun `the coordinator of a large group sends a map to a few agents, which relay it to the others`() {
        val agents = List(RANKS) { Agent(it) }
        reportUntilPrepared(agents)
        agents.forEach { expectThat(it.prepared).isNotNull() }
        val first = checkNotNull(received.first().prepare).version
        val orders = received.filter { it.prepare?.version == first }
        expectThat(orders.size - orders.sumOf { it.relayTo.size }).isLessThan(RANKS / 4)
        expectThat(orders.count { it.prepare?.map != null }).isEqualTo(0)
    }

    /** Guards against agents that never get a map because they do not know what the change is based on. */
    @Test
    fun `agents that do not know the base of a map get all of it`() {
        val agents = List(RANKS) { Agent(it) }
        agents.filter { it.rank % 5 == 4 }.forEach { it.forgetful = true }
        reportUntilPrepared(agents)
        agents.forEach { expectThat(it.prepared).isNotNull() }
    }

    /**
     * Guards against a map in use that is put together from two versions: the changes to it would give other maps to
     * the ranks whose agents know it.
     */
    @Test
    fun `no map is planned while a rank names the experts of another version`() {
        val agents = List(RANKS) { Agent(it) }
        agents[7].heldVersion = 3
        reportUntilPrepared(agents, seconds = 2)
        expectThat(received.map { it.prepare?.version }).isEqualTo(emptyList())
        agents[7].heldVersion = 0
        reportUntilPrepared(agents)
        agents.forEach { expectThat(it.prepared).isNotNull() }
    }

    /** Guards against a group that keeps its first map because one answer could not be handled. */
    @Test
    fun `the experts of the ranks are read again after an answer that could not be handled`() {
        heldExpertsFailures.set(1)
        val agents = List(RANKS) { Agent(it) }
        reportUntilPrepared(agents)
        agents.forEach { expectThat(it.prepared).isNotNull() }
    }

    /** Guards against a map for ranks of two groups, in both of which each rank is numbered from 0. */
    @Test
    fun `ranks of another group are neither counted nor ordered`() {
        val agents = List(RANKS) { Agent(it) }
        val others = List(RANKS) { Agent(it).apply { memberOf = GroupId("other") } }
        agents[3].memberOf = GroupId("other")
        reportUntilPrepared(agents + others, seconds = 2)
        expectThat(received.size).isEqualTo(0)
        agents[3].memberOf = GROUP
        reportUntilPrepared(agents + others, seconds = 3)
        expectThat(agents.count { it.prepared == null }).isEqualTo(0)
        expectThat(others.count { it.prepared != null }).isEqualTo(0)
    }

    /** Guards against orders to the former replica of a rank that has moved, while the new one waits for them. */
    @Test
    fun `orders go to the replica that has reported the rank last`() {
        val former = Agent(5)
        val agents = List(RANKS) { Agent(it) }
        val counts = CompactCounts.of(List(2 * RANKS) { 250 / (it + 1) + 1 })
        loop.submit { coordinator.onStatus(former.status(counts, replicaPort = 9_000)) }.sync()
        reportUntilPrepared(agents)
        expectThat(agents.count { it.prepared == null }).isEqualTo(0)
        expectThat(former.prepared).isNull()
    }

    private companion object {
        const val RANKS = 40
        val GROUP = GroupId("g")
    }
}
