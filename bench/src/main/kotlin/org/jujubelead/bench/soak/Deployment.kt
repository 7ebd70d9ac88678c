/**
 * The real programs as processes on loopback, in front of the project's stand-ins.
 *
 * Each instance has its own loopback address, so that ports are the same on all instances, as on the platform. Each
 * gateway reaches the store, and each plain replica is reached, through a relay that the faults act on.
 */
package org.jujubelead.bench.soak

import org.jujubelead.bench.prove.ManagedProcess
import org.jujubelead.bench.prove.TcpRelay
import org.jujubelead.platform.standins.ExecutionLog
import org.jujubelead.platform.standins.GroupShape
import org.jujubelead.platform.standins.RouteDefinition
import org.jujubelead.platform.standins.SimulatedRankGroup
import org.jujubelead.platform.standins.SimulatedReplica
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreWriter
import java.io.File

/** A started program, started again after its end as the platform does. [life] counts its starts. */
internal class Instance(val name: String, val host: String, private val start: () -> ManagedProcess) {
    @Volatile
    var process: ManagedProcess = start()
        private set

    @Volatile
    var life = 1
        private set

    @Synchronized
    fun restart() {
        process.waitFor(KILL_MILLIS)
        process.close()
        life++
        process = start()
    }

    private companion object {
        const val KILL_MILLIS = 9_000L
    }
}

/** Numbers of instances of one run. */
internal class Sizes(val gateways: Int, val ranks: Int, val plain: Int)

internal class Deployment(private val sizes: Sizes, seed: Long, private val directory: File) : AutoCloseable {
    private val ports = PORTS_FROM + (seed % PORT_SLOTS).toInt() * PORTS_PER_RUN
    val shape = GroupShape(ranks = sizes.ranks, sets = 2, experts = sizes.ranks * EXPERTS_PER_RANK)
    val runs = ExecutionLog()
    val store = SimulatedStore()
    val writer = StoreWriter(store, HOST)
    val group = SimulatedRankGroup(shape, seed)
    private val ranks = List(sizes.ranks) { r ->
        SimulatedReplica("rank-$r", agentHost(r), ports + REPLICA, runs, seed + r, group, r)
    }
    private val plain = List(sizes.plain) { SimulatedReplica("plain-$it", "127.0.0.1", 0, runs, seed - it) }
    val replicaRelays = plain.map { TcpRelay(it.port) }
    val storeRelays = List(sizes.gateways) { TcpRelay(store.port) }
    private var version = 0L

    init {
        ranks.forEachIndexed { r, replica ->
            writer.replica(replica.id, MODEL, "${agentHost(r)}:${ports + REPLICA}", zone(r), slots = SLOTS)
        }
        plain.forEachIndexed { i, replica -> announce(i, replica.id, draining = false) }
        configure(extraRoute = false, revoked = false)
    }

    val gateways = List(sizes.gateways) { g ->
        Instance("gateway-$g", "127.0.1.${g + 1}") {
            start("gateway", "gateway-$g", "127.0.1.${g + 1}", storeRelays[g].port, rank = null)
        }
    }
    val agents = List(sizes.ranks) { r ->
        Instance("agent-$r", agentHost(r)) { start("rank-agent", "agent-$r", agentHost(r), store.port, rank = r) }
    }

    val callerPort: Int get() = ports + CALLERS
    val readinessPort: Int get() = ports + READINESS

    /** Writes the entry of a plain replica. */
    fun announce(index: Int, id: String, draining: Boolean) =
        writer.replica(
            id,
            PLAIN,
            "127.0.0.1:${replicaRelays[index].port}",
            zone(index),
            slots = SLOTS,
            draining = draining,
        )

    /** Sets the part of the answers of all replicas that are spoiled. */
    fun spoil(share: Double) = (ranks + plain).forEach { it.faultProbability = share }

    /** Writes a configuration; it is confirmed when this returns. */
    @Synchronized
    fun configure(extraRoute: Boolean, revoked: Boolean) {
        val routes = listOf(
            RouteDefinition("/safe/", "safe", PLAIN),
            RouteDefinition("/once/", "unsafe", PLAIN),
            RouteDefinition("/stream/", "streaming", MODEL),
        ) + if (extraRoute) listOf(RouteDefinition("/added/", "safe", PLAIN)) else emptyList()
        val keys = mapOf("steady" to listOf(STEADY_KEY), "leaving" to if (revoked) emptyList() else listOf(REVOKED_KEY))
        version += VERSION_STEP
        writer.configuration(version, routes, keys, shape, MODEL)
    }

    private fun agentHost(rank: Int) = "127.0.2.${rank + 1}"

    private fun zone(index: Int) = "z${index % ZONES}"

    private fun start(role: String, name: String, host: String, storePort: Int, rank: Int?): ManagedProcess {
        val settings = File(directory, "$name.yaml").apply { parentFile.mkdirs() }
        val place = if (rank == null) {
            "callers: \"$host:${ports + CALLERS}\"\nreadiness: \"$host:${ports + READINESS}\""
        } else {
            "replica: \"$host:${ports + REPLICA}\"\nservice: $MODEL"
        }
        settings.writeText(
            """
            |instance: $name
            |machine: $host
            |zone: ${zone(name.substringAfterLast('-').toInt())}
            |$place
            |internalPorts: [${ports + INTERNAL}, ${ports + INTERNAL}]
            |store: "127.0.0.1:$storePort"
            |bounds: {strictRevocation: true, revocationMillis: $REVOCATION_MILLIS, retryRatio: 0.2, retryWindowSeconds: 10,
            |  retrySlack: $RETRY_SLACK, stopGraceSeconds: 8, configurationMillis: $CONFIGURATION_MILLIS, drainMillis: 2000}
            |
            """.trimMargin(),
        )
        val java = File(System.getProperty("java.home"), "bin/java").path
        val flags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss192k", "-Xmx64m")
        val command = listOf(java) + flags + listOf("-jar", JAR, role, settings.path)
        return ManagedProcess(name, command, File(directory, "$name.log"))
    }

    override fun close() {
        (gateways + agents).forEach { it.process.close() }
        replicaRelays.forEach { it.close() }
        storeRelays.forEach { it.close() }
        (ranks + plain).forEach { it.close() }
        group.close()
        store.close()
    }

    companion object {
        const val HOST = "soak.example"
        const val STEADY_KEY = "key-that-stays"
        const val REVOKED_KEY = "key-that-goes"
        const val REVOCATION_MILLIS = 5_000L
        const val CONFIGURATION_MILLIS = 2_000L
        const val RETRY_SLACK = 100
        private const val MODEL = "model"
        private const val PLAIN = "plain"
        private const val JAR = "target/jujubelead.jar"
        private const val SLOTS = 4
        private const val ZONES = 3
        private const val EXPERTS_PER_RANK = 4
        private const val VERSION_STEP = 3L
        private const val PORTS_FROM = 21_000
        private const val PORT_SLOTS = 200L
        private const val PORTS_PER_RUN = 10
        private const val CALLERS = 0
        private const val READINESS = 1
        private const val REPLICA = 2
        private const val INTERNAL = 3
    }
}
