package org.jujubelead.gateway.store

import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Replica
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.peers.GatewayListPoller
import org.jujubelead.gateway.peers.Peer
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreWriter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Entries of other writers in the ranges that are read from the store, in lists of several pages. */
@Timeout(60)
class ForeignEntriesTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val store = SimulatedStore(maxPageItems = 2)
    private val writer = StoreWriter(store, "h.example")

    @Volatile
    private var replicas: List<Replica> = emptyList()

    @Volatile
    private var failure: String? = null

    private fun client() =
        StoreClient(HttpClient(Endpoint("127.0.0.1", store.port), loop, 2.seconds), EventLog())

    private fun startReplicaPoller() = ReplicaPoller(
        store = client(),
        loop = loop,
        log = EventLog(),
        pollInterval = 50.milliseconds,
        relay = ReplicaRelay(loop, ZoneId("z"), Endpoint("127.0.0.1", 1), EventLog(), 1.seconds),
        onChange = { replicas = it },
        onLost = { failure = it },
    ).start()

    private fun await(condition: () -> Boolean) {
        while (!condition()) Thread.sleep(5)
    }

    @AfterEach
    fun stop() {
        store.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /**
     * Guards against a replica list that a restarted process can never read, because the key of another writer's entry
     * is sent as a part of the request's target as it stands.
     */
    @Test
    fun `the list is read past foreign entries under any name`() {
        for (name in ODD_NAMES) store.put("servers/$name", "\u0000 of another writer")
        writer.replica("a-first", "s", "10.0.0.1:80", "z", slots = 1)
        writer.replica("zz-last", "s", "10.0.0.2:80", "z", slots = 1)
        startReplicaPoller()
        await { replicas.isNotEmpty() || failure != null }
        expectThat(failure).isEqualTo(null)
        expectThat(replicas.map { it.id.value }).containsExactlyInAnyOrder("a-first", "zz-last")
    }

    /** Guards against a copy of a replica's entry, under a key that no replica has, that is used as a replica. */
    @Test
    fun `an entry under a name that no replica can have names no replica`() {
        for (name in ODD_NAMES) writer.replica(name, "s", "10.0.0.1:80", "z", slots = 1)
        writer.replica("i1", "s", "10.0.0.1:80", "z", slots = 1)
        startReplicaPoller()
        await { replicas.isNotEmpty() || failure != null }
        expectThat(replicas.map { it.id.value }).containsExactly("i1")
    }

    /** Guards against gateways that do not know each other because the list of gateways has several pages. */
    @Test
    fun `all gateways are found in a list of several pages`() {
        for (name in ODD_NAMES) store.put("gateways/$name", "of another writer")
        val peers = (1..5).map { Peer(Endpoint("10.0.0.$it", 80), ZoneId("z")) }
        for (p in peers) store.put("gateways/i${p.endpoint.host}", "z ${p.endpoint}")
        var found: List<Peer> = emptyList()
        GatewayListPoller(client(), loop) { found = it }.start(initialDelay = 10.milliseconds)
        await { found.isNotEmpty() }
        expectThat(found).containsExactlyInAnyOrder(peers)
    }

    private companion object {
        /** One for each character that can be in a key and has a meaning in a target, a message or a line. */
        val ODD_NAMES: List<String> = " &+#%?=;,:~/@!*()\"\\'<>{}[]|^`$\r\n\t\u0000\u007Fé€\uD83D\uDE00".codePoints()
            .toArray().map { "m${String(Character.toChars(it))}copy" } +
            listOf("m%20", "m%zz", "m&after=servers/zzz", "m copy (1).json", "", " ")
    }
}
