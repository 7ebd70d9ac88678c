package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import org.jujubelead.gateway.settings.readProcessDescription
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.AnswerFaults
import org.jujubelead.platform.standins.ExecutionLog
import org.jujubelead.platform.standins.GroupShape
import org.jujubelead.platform.standins.RouteDefinition
import org.jujubelead.platform.standins.SimulatedRankGroup
import org.jujubelead.platform.standins.SimulatedReplica
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreWriter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** Agents of several groups of ranks that serve one model, while other experts come into demand. */
@Timeout(90)
class GroupsOfOneServiceTest {
    private val shape = GroupShape(ranks = 3, sets = 2, experts = 12)
    private val store = SimulatedStore()
    private val groups = NAMES.mapIndexed { i, name -> SimulatedRankGroup(shape, seed = i.toLong(), name) }
    private val agentPort = ServerSocket(0, 1, InetAddress.getByName(host(0))).use { it.localPort }

    /** The ranks of the groups lie side by side. */
    private val replicas = List(NAMES.size * shape.ranks) { i ->
        SimulatedReplica(
            id = "rank-$i",
            host = host(i),
            port = 0,
            log = ExecutionLog(),
            faults = AnswerFaults(),
            seed = i.toLong(),
            group = groups[i % NAMES.size],
            rank = i / NAMES.size,
        )
    }
    private val agents = replicas.indices.map { i ->
        val description = readProcessDescription(
            """
            |instance: agent-$i
            |machine: ${host(i)}
            |zone: z
            |replica: "${host(i)}:${replicas[i].port}"
            |service: model
            |internalPorts: [$agentPort, $agentPort]
            |store: "127.0.0.1:${store.port}"
            |bounds: {strictRevocation: true, revocationMillis: 5000, retryRatio: 0.2, retryWindowSeconds: 10,
            |  retrySlack: 10, stopGraceSeconds: 8, configurationMillis: 2000, drainMillis: 2000}
            """.trimMargin(),
        ).get()
        RankAgentProcess(checkNotNull(description) { "the settings are valid" }, EventLog())
    }

    private fun host(i: Int) = "127.0.5.${i + 1}"

    @AfterEach
    fun stop() {
        agents.forEach { it.stop() }
        replicas.forEach { it.close() }
        groups.forEach { it.close() }
        store.close()
    }

    /** Guards against a map that some ranks of one group and some of another one get (review/8). */
    @Test
    fun `each group changes its own map on all of its ranks`() {
        val writer = StoreWriter(store, "h.example")
        val routes = listOf(RouteDefinition("/stream/", "streaming", "model"))
        writer.configuration(version = 1, routes, keys = emptyMap(), shape, model = "model")
        replicas.forEachIndexed { i, r -> writer.replica(r.id, "model", "${host(i)}:${r.port}", "z", slots = 4) }
        agents.forEach { thread(isDaemon = true) { it.run() } }
        val until = System.nanoTime() + MAX_NANOS
        while (groups.any { it.mapChanges < MAP_CHANGES } && System.nanoTime() < until) Thread.sleep(100)
        expectThat(groups).all {
            get { mixedPasses }.isEqualTo(0)
            get { mapChanges }.isGreaterThan(0)
        }
    }

    private companion object {
        /** Names are text of the platform. */
        val NAMES = listOf("g", "g/a", "g b&c%")
        const val MAP_CHANGES = 3
        const val MAX_NANOS = 25_000_000_000L
    }
}
