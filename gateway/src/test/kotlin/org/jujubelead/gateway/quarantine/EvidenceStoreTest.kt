package org.jujubelead.gateway.quarantine

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.netty.channel.nio.NioEventLoopGroup
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
import org.jujubelead.gateway.store.ReplicaRelay
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.store.StorePoller
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.GroupShape
import org.jujubelead.platform.standins.RouteDefinition
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreCondition
import org.jujubelead.platform.standins.StoreWriter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(30)
class EvidenceStoreTest {
    private val group = NioEventLoopGroup(1)
    private val store = SimulatedStore()
    private val trials = LinkedBlockingQueue<String>()

    /** Store access of one gateway. It polls like a gateway and receives evidence of the others. */
    private inner class Gateway(val name: String) {
        val received = LinkedBlockingQueue<Map<PartKey, PartRecord>>()
        private val known = HashSet<String>()
        private val client =
            StoreClient(HttpClient(Endpoint("127.0.0.1", store.port), group.next(), 1.seconds), EventLog())
        val evidence = EvidenceStore(
            store = client,
            loop = group.next(),
            log = EventLog(),
            onEvidence = { received += it },
            onTrial = { _, _ -> trials += name },
        )

        init {
            val relay = ReplicaRelay(group.next(), ZoneId("z"), Endpoint(name, 1), EventLog(), 1.seconds)
            StorePoller(client, group.next(), EventLog(), 200.milliseconds, relay, evidence) {}.start()
        }

        fun onLoop(run: EvidenceStore.() -> Unit) = group.next().submit { evidence.run() }.sync()

        fun publish(part: String, crash: Int) {
            known += part
            onLoop { publish(mapOf(key(part) to record(crash)), observed = true) }
        }

        /** Waits until this gateway knows the parts [names], from its own evidence or from that of others. */
        fun awaitParts(names: Set<String>) {
            while (known != names) {
                val parts = checkNotNull(received.poll(5, TimeUnit.SECONDS)) { "$name knows $known instead of $names" }
                known += parts.keys.map { it.part.value }
            }
        }
    }

    private fun key(part: String) = PartKey(ServiceId("s"), PromptPartId(part))

    private fun record(crash: Int, trials: Int = 0) = PartRecord(
        crashes = mapOf(Incarnation(ReplicaId("r$crash"), 1) to CrashSign.STARTED),
        trials = trials,
        expiresMillis = System.currentTimeMillis() + 60_000,
    )

    private fun configure() = StoreWriter(store, "h.example").configuration(
        version = 1,
        routes = listOf(RouteDefinition("/stream/", "streaming", "s")),
        keys = mapOf("acme" to listOf("key")),
        shape = GroupShape(ranks = 2, sets = 1, experts = 4),
        model = "s",
    )

    @AfterEach
    fun stop() {
        store.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Guards against evidence that is lost when two gateways store theirs at the same time, or when one restarts. */
    @Test
    fun `evidence of two gateways is merged and read by one that starts later`() {
        configure()
        val a = Gateway("a")
        val b = Gateway("b")
        a.publish("p", crash = 1)
        b.publish("q", crash = 2)
        a.awaitParts(setOf("p", "q"))
        Gateway("restarted").awaitParts(setOf("p", "q"))
    }

    /** Guards against evidence that is dropped because the store was away when it was found. */
    @Test
    fun `evidence found during an outage of the store is stored after it`() {
        configure()
        store.condition = StoreCondition.REFUSING
        Gateway("a").publish("p", crash = 1)
        Thread.sleep(500)
        store.condition = StoreCondition.SERVING
        Gateway("b").awaitParts(setOf("p"))
    }

    /** Guards against evidence that gateways believe to be stored although a return from a copy has dropped it. */
    @Test
    fun `evidence that the store has lost is written again`() {
        configure()
        val copy = store.copy()
        val a = Gateway("a")
        a.publish("p", crash = 1)
        Gateway("b").awaitParts(setOf("p"))
        repeat(20) { store.put("other", "$it") }
        store.returnTo(copy)
        Gateway("restarted").awaitParts(setOf("p"))
    }

    /** Guards against a trial of a deadly part by each gateway at the same time. */
    @Test
    fun `one of several gateways makes a trial`() {
        configure()
        val gateways = List(4) { Gateway("g$it") }
        gateways[0].publish("p", crash = 1)
        gateways.forEach { it.awaitParts(setOf("p")) }
        gateways.forEach { it.onLoop { requestTrial(key("p"), record(1, trials = 1)) } }
        expectThat(trials.poll(5, TimeUnit.SECONDS)).isNotNull()
        expectThat(trials.poll(1, TimeUnit.SECONDS)).isNull()
    }

    /** Guards against evidence that changes on its way, and against entries of foreign writers. */
    @Test
    fun `evidence is decoded as it was encoded and other text is rejected`() {
        val records =
            mapOf(key("p") to record(1).copy(cleared = setOf(Incarnation(ReplicaId("r1"), 1)), vouched = true))
        expectThat(decodeEvidence(encodeEvidence(records)).get()).isEqualTo(records)
        expectThat(decodeEvidence("{}").getError()).isNotNull()
        expectThat(checkNotNull(decodeEvidence("[]").get()).entries).hasSize(0)
    }
}
