package org.jujubelead.gateway.store

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.serialization.json.Json
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Replica
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.peers.Peer
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreWriter
import org.jujubelead.platform.wire.StoreRequests
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

@Timeout(20)
class ReplicaPollerTest {
    private val group = NioEventLoopGroup(1)
    private val reads = AtomicInteger()
    private val zone = ZoneId("z")

    @Volatile
    private var storeUp = true

    /** A page with one replica, in the format of the platform's store. */
    private val page = checkNotNull(javaClass.getResource("/replica-page.json")).readText()

    private val store = listen(Endpoint("127.0.0.1", 0), group) {
        servicePipeline(
            mapOf(
                StoreRequests.RANGE_PATH to { _, answer ->
                    reads.incrementAndGet()
                    answer(if (storeUp) TextResponse(200, page) else TextResponse(503, ""))
                },
            ),
        )
    }

    private inner class Gateway(host: String, storePort: Int = (store.localAddress() as InetSocketAddress).port) {
        val relay = ReplicaRelay(group.next(), zone, Endpoint(host, 99), EventLog(), maxAge = 130.milliseconds)

        @Volatile
        var replicas: List<Replica> = emptyList()
        val channel = listen(Endpoint(host, 0), group) {
            servicePipeline(
                mapOf(
                    ReplicaRelay.PATH to { _, answer ->
                        answer(relay.sharedList()?.let { TextResponse(200, it) } ?: TextResponse(503, ""))
                    },
                ),
            )
        }
        val endpoint = Endpoint(host, (channel.localAddress() as InetSocketAddress).port)

        private val storeAddress = Endpoint("127.0.0.1", storePort)

        fun start() = ReplicaPoller(
            store = StoreClient(
                HttpClient(
                    storeAddress,
                    group.next(),
                    500.milliseconds,
                ),
                EventLog(),
            ),
            loop = group.next(),
            log = EventLog(),
            pollInterval = 100.milliseconds,
            relay = relay,
            onChange = { replicas = it },
            onLost = {},
        ).start()
    }

    /** Creates the relay of a gateway of the zone with a higher address than the reader's. */
    private fun following(reader: Gateway): ReplicaRelay {
        val relay = ReplicaRelay(group.next(), zone, Endpoint("127.0.0.9", 1), EventLog(), maxAge = 130.milliseconds)
        group.next().submit { relay.peersChanged(listOf(Peer(reader.endpoint, zone))) }.sync()
        return relay
    }

    private fun fetch(relay: ReplicaRelay): List<String>? {
        val got = CompletableFuture<List<String>?>()
        group.next().execute { relay.fetch { got.complete(it?.pages) } }
        return got.get()
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Guards against store reads that grow with the number of gateways in a zone. */
    @Test
    fun `one gateway of a zone reads the list and shares it with the others`() {
        val reader = Gateway("127.0.0.1").apply { start() }
        while (reader.replicas.isEmpty()) Thread.sleep(5)
        val follower = following(reader)
        expectThat(follower.hasZoneReader).isEqualTo(true)
        val before = reads.get()
        expectThat(checkNotNull(fetch(follower)).size).isEqualTo(1)
        expectThat(reads.get() - before).isLessThanOrEqualTo(1)
    }

    /** Guards against a stale list that is shared as current after the reader has lost the store. */
    @Test
    fun `a gateway reads the store when the shared list is too old or the reader is gone`() {
        val reader = Gateway("127.0.0.1").apply { start() }
        while (reader.replicas.isEmpty()) Thread.sleep(5)
        storeUp = false
        Thread.sleep(400)
        val follower = following(reader)
        expectThat(fetch(follower)).isNull()
        reader.channel.close().sync()
        storeUp = true
        expectThat(fetch(follower)).isNull()
    }

    /** Guards against a shared list that appears fresher than the read it comes from. */
    @Test
    fun `a shared list keeps the time at which it was requested`() {
        val reader = Gateway("127.0.0.1").apply { start() }
        while (reader.replicas.isEmpty()) Thread.sleep(5)
        val first = checkNotNull(reader.relay.sharedList())
        storeUp = false
        Thread.sleep(300)
        fun age(json: String) = json.substringAfter("\"ageMillis\":").substringBefore(',').toLong()
        expectThat(age(checkNotNull(reader.relay.sharedList()))).isGreaterThan(age(first) + 100)
    }

    /**
     * Guards against a replica list that is never read again, with replicas that have left long ago, after the address
     * of the zone's reader was given to a process that answers something else.
     */
    @Test
    fun `a reader that answers something else is replaced by the store`() {
        val other = listen(Endpoint("127.0.0.1", 0), group) {
            servicePipeline(mapOf(ReplicaRelay.PATH to { _, answer -> answer(TextResponse(200, "<html>")) }))
        }
        val follower = Gateway("127.0.0.9")
        val address = Endpoint("127.0.0.1", (other.localAddress() as InetSocketAddress).port)
        group.next().submit { follower.relay.peersChanged(listOf(Peer(address, zone))) }.sync()
        follower.start()
        Thread.sleep(600)
        expectThat(follower.replicas.size).isEqualTo(1)
        expectThat(reads.get()).isGreaterThan(2)
    }

    /** Guards against replicas that are never read again while the zone's reader is cut off from the store. */
    @Test
    fun `a shared list of an earlier era of the store is replaced by the store`() {
        val shared = Json.encodeToString(SharedList.serializer(), SharedList(ageMillis = 0, pages = listOf(page)))
        val reader = listen(Endpoint("127.0.0.1", 0), group) {
            servicePipeline(mapOf(ReplicaRelay.PATH to { _, answer -> answer(TextResponse(200, shared)) }))
        }
        SimulatedStore().use { eras ->
            val writer = StoreWriter(eras, "h.example")
            val follower = Gateway("127.0.0.9", eras.port)
            follower.start()
            writer.replica("i1", "s", "10.0.0.1:80", "z", slots = 1)
            while (follower.replicas.map { it.id.value } != listOf("i1")) Thread.sleep(5)
            val address = Endpoint("127.0.0.1", (reader.localAddress() as InetSocketAddress).port)
            group.next().submit { follower.relay.peersChanged(listOf(Peer(address, zone))) }.sync()
            writer.replica("i2", "s", "10.0.0.2:80", "z", slots = 1)
            while (follower.replicas.map { it.id.value } != listOf("i1", "i2")) Thread.sleep(5)
        }
    }
}
