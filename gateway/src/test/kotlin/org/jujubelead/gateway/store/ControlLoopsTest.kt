package org.jujubelead.gateway.store

import com.github.michaelbull.result.get
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.quarantine.CrashSign
import org.jujubelead.core.quarantine.PartKey
import org.jujubelead.core.quarantine.PartRecord
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.peers.Peer
import org.jujubelead.gateway.peers.PeerDirectory
import org.jujubelead.gateway.quarantine.EvidenceStore
import org.jujubelead.gateway.quarantine.decodeEvidence
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.GroupShape
import org.jujubelead.platform.standins.RouteDefinition
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreWriter
import org.jujubelead.platform.wire.WireDecoders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import java.lang.reflect.Proxy
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** All loops that read the store for one gateway and one rank agent, with failures in their work. */
@Timeout(60)
class ControlLoopsTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val store = SimulatedStore()
    private val client = StoreClient(HttpClient(Endpoint("127.0.0.1", store.port), loop, 1.seconds), EventLog())
    private val writer = StoreWriter(store, "h.example")
    private val failures = ConcurrentHashMap<String, Int>()

    /** Fails the first [FAILURES] times that [name] is done. */
    private fun failAtFirst(name: String) {
        val failed = failures.getOrDefault(name, 0)
        if (failed == FAILURES) return
        failures[name] = failed + 1
        throw LinkageError("$name failed")
    }

    private fun failingDecoders(): WireDecoders {
        val type = WireDecoders::class.java
        return Proxy.newProxyInstance(type.classLoader, arrayOf(type)) { _, method, arguments ->
            failAtFirst(method.name.substringBefore('-'))
            method.invoke(WireDecoders, *arguments)
        } as WireDecoders
    }

    private inner class Gateway(name: String, decoders: WireDecoders, private val onChange: (String) -> Unit) {
        @Volatile
        var state = ControlState()

        @Volatile
        var peers: List<Peer> = emptyList()

        @Volatile
        var leadership: Leadership = Leadership.Unknown

        private val own = Endpoint("127.0.0.1", 7_000 + name.length)
        private val evidence = EvidenceStore(client, loop, EventLog(), decoders, {}, { _, _ -> })
        private val relay = ReplicaRelay(loop, ZoneId("z"), own, EventLog(), 1.seconds)
        private val poller = StorePoller(client, loop, EventLog(), POLL_INTERVAL, relay, evidence, decoders) {
            onChange("state")
            state = it
        }
        private val directory = PeerDirectory(client, loop, InstanceId(name), Peer(own, ZoneId("z")), decoders) {
            onChange("peers")
            peers = it
        }
        private val election = LeaderElection(
            store = client,
            loop = loop,
            log = EventLog(),
            key = "leader-$name",
            self = own,
            candidateIndex = { 0 },
            leaderAnswers = { false },
            decoders = decoders,
            onChange = {
                onChange("leadership")
                leadership = it
            },
        )

        fun start() {
            poller.start()
            directory.start()
            election.start()
            loop.execute { evidence.publish(mapOf(PART to record()), observed = true) }
        }

        private fun record() = PartRecord(
            crashes = mapOf(Incarnation(ReplicaId("r1"), 1) to CrashSign.STARTED),
            expiresMillis = System.currentTimeMillis() + 60_000,
        )
    }

    private fun configure(version: Long) = writer.configuration(
        version = version,
        routes = listOf(RouteDefinition("/safe/", "safe", "s")),
        keys = emptyMap(),
        shape = GroupShape(ranks = 1, sets = 1, experts = 1),
        model = "",
    )

    private fun await(condition: () -> Boolean) {
        while (!condition()) Thread.sleep(5)
    }

    /** Waits until all loops of [gateway] have read what is in the store, then changes it and waits again. */
    private fun awaitLoops(gateway: Gateway) {
        val other = Gateway("other", WireDecoders) {}
        configure(version = 1)
        writer.replica("i1", "s", "10.0.0.1:80", "z", slots = 1)
        gateway.start()
        other.start()
        await { gateway.state.configuration?.version == 1L && gateway.state.replicas?.size == 1 }
        await { gateway.peers.size == 1 && gateway.leadership is Leadership.Leader }
        await { store.text(EvidenceStore.KEY)?.let { decodeEvidence(it).get()?.containsKey(PART) } == true }
        configure(version = 2)
        writer.replica("i1", "s", "10.0.0.1:80", "z", slots = 1, draining = true)
        await { gateway.state.configuration?.version == 2L && gateway.state.replicas?.isEmpty() == true }
    }

    @AfterEach
    fun stop() {
        store.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Guards against a loop that ends for good because a value of the store could not be decoded. */
    @Test
    fun `every loop goes on after each decoder has thrown`() {
        awaitLoops(Gateway("gateway", failingDecoders()) {})
        val decoders = WireDecoders::class.java.declaredMethods.map { it.name.substringBefore('-') } - RANK_DECODERS
        expectThat(failures.filterValues { it == FAILURES }.keys).containsExactlyInAnyOrder(decoders)
    }

    /** Guards against a loop that ends, or a change that is lost, because its handler failed. */
    @Test
    fun `every loop goes on after its handler of changes has thrown`() {
        awaitLoops(Gateway("gateway", WireDecoders, ::failAtFirst))
        expectThat(failures.filterValues { it == FAILURES }.keys)
            .containsExactlyInAnyOrder("state", "peers", "leadership")
    }

    private companion object {
        const val FAILURES = 2

        /** Not used by loops that read the store; RankLoopsTest covers them. */
        val RANK_DECODERS = setOf("rankReport", "expertCounts", "heldExperts")
        val POLL_INTERVAL = 50.milliseconds
        val PART = PartKey(ServiceId("s"), PromptPartId("p"))
    }
}
