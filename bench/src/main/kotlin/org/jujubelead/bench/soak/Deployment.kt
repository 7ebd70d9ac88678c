/**
 * Runs the gateways and rank agents as processes on loopback, with simulated replicas and a simulated store.
 *
 * Each instance has its own loopback address, so that all instances use the same ports, as on the platform. Gateways
 * connect to the store and to the plain replicas through TCP relays, into which faults are injected.
 */
package org.jujubelead.bench.soak

import org.jujubelead.bench.prove.ManagedProcess
import org.jujubelead.bench.prove.TcpRelay
import org.jujubelead.platform.standins.AnswerFaults
import org.jujubelead.platform.standins.ExecutionLog
import org.jujubelead.platform.standins.GroupShape
import org.jujubelead.platform.standins.RouteDefinition
import org.jujubelead.platform.standins.SimulatedRankGroup
import org.jujubelead.platform.standins.SimulatedReplica
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.standins.StoreContents
import org.jujubelead.platform.standins.StoreWriter
import java.io.File
import java.util.concurrent.ConcurrentHashMap

/** A process that is restarted after it exits, as the platform does. [incarnation] counts its starts. */
internal class Instance(val name: String, val host: String, private val start: () -> ManagedProcess) {
    @Volatile
    var process: ManagedProcess = start()
        private set

    @Volatile
    var incarnation = 1
        private set

    @Synchronized
    fun restart() {
        process.waitFor(EXIT_TIMEOUT_MILLIS)
        process.close()
        incarnation++
        process = start()
    }

    private companion object {
        const val EXIT_TIMEOUT_MILLIS = 9_000L
    }
}

/** Number of gateways, ranks and plain replicas behind a relay in a run. */
internal class DeploymentSize(val gateways: Int, val ranks: Int, val plain: Int)

internal class Deployment(private val size: DeploymentSize, seed: Long, private val directory: File) : AutoCloseable {
    private val basePort = FIRST_PORT + (seed % PORT_SLOTS).toInt() * PORTS_PER_RUN
    private val groupCount = 1 + (seed % MAX_GROUPS).toInt()
    val shape = GroupShape(
        ranks = size.ranks / groupCount,
        sets = 2,
        experts = size.ranks / groupCount * EXPERTS_PER_RANK,
    )
    val executionLog = ExecutionLog()
    val answerFaults = AnswerFaults()
    val store = SimulatedStore(maxPageItems = STORE_PAGE_ITEMS)
    private val written = ConcurrentHashMap<String, String>()
    private val copies = ArrayDeque<StoreContents.Copy>()
    val writer = StoreWriter(HOST) { key, text ->
        written[key] = text
        store.put(key, text)
    }

    /** Groups of the model's ranks: one or, with every other seed, two whose ranks lie side by side. */
    val groups = List(groupCount) { SimulatedRankGroup(shape, seed + it, name = "group $it") }
    private val ranks = List(shape.ranks * groupCount) { r ->
        SimulatedReplica(
            "rank-$r",
            agentHost(r),
            basePort + REPLICA_OFFSET,
            executionLog,
            answerFaults,
            seed + r,
            groups[r % groupCount],
            r / groupCount,
        )
    }

    /** The last one is reached without a relay, whose buffers would take up a long request. */
    private val plain = List(size.plain + 1) {
        SimulatedReplica("plain-$it", "127.0.0.1", 0, executionLog, answerFaults, seed - it)
    }
    val replicaRelays = plain.dropLast(1).map { TcpRelay(it.port) }
    val storeRelays = List(size.gateways) { TcpRelay(store.port) }
    private var version = 0L

    init {
        ranks.forEachIndexed { r, replica ->
            writer.replica(replica.id, MODEL, "${agentHost(r)}:${basePort + REPLICA_OFFSET}", zone(r), slots = SLOTS)
        }
        plain.forEachIndexed { i, replica -> publishReplica(i, replica.id, draining = false) }
        for (name in FOREIGN_NAMES) writer.foreignEntry(name)
        configure(extraRoute = false, revoked = false)
    }

    val gateways = List(size.gateways) { g ->
        Instance("gateway-$g", "127.0.1.${g + 1}") {
            start("gateway", "gateway-$g", "127.0.1.${g + 1}", storeRelays[g].port, rank = null)
        }
    }
    val agents = List(size.ranks) { r ->
        Instance("agent-$r", agentHost(r)) { start("rank-agent", "agent-$r", agentHost(r), store.port, rank = r) }
    }

    val callerPort: Int get() = basePort + CALLER_OFFSET
    val readinessPort: Int get() = basePort + READINESS_OFFSET

    /** Writes the store entry of a plain replica. */
    fun publishReplica(index: Int, id: String, draining: Boolean) =
        writer.replica(
            id,
            PLAIN,
            "127.0.0.1:${replicaRelays.getOrNull(index)?.port ?: plain[index].port}",
            zone(index),
            slots = SLOTS,
            draining = draining,
        )

    /** Sets the part of a prompt that crashes the replicas of the model; null for none. */
    fun setDeadlyPart(part: String?) = ranks.forEach { it.deadlyPart = part }

    /** Writes a configuration and returns once the store has confirmed it. */
    @Synchronized
    fun configure(extraRoute: Boolean, revoked: Boolean) {
        val routes = listOf(
            RouteDefinition("/safe/", "safe", PLAIN),
            RouteDefinition("/once/", "unsafe", PLAIN),
            RouteDefinition("/stream/", "streaming", MODEL),
        ) + if (extraRoute) listOf(RouteDefinition("/added/", "safe", PLAIN)) else emptyList()
        val keys = mapOf("steady" to listOf(VALID_KEY), "leaving" to if (revoked) emptyList() else listOf(REVOKED_KEY))
        version += VERSION_STEP
        writer.configuration(version, routes, keys, shape, MODEL, MAX_BODY_BYTES)
    }

    /** Takes a copy of the store, to be called every [COPY_INTERVAL_MILLIS]. */
    @Synchronized
    fun copyStore() {
        copies.addLast(store.copy())
        if (copies.size > MAX_COPIES) copies.removeFirst()
    }

    /** Makes the store return from the copy taken [intervals] before the latest one, in a new era. */
    @Synchronized
    fun returnStore(intervals: Int) {
        store.returnTo(copies[(copies.size - 1 - intervals).coerceAtLeast(0)])
        copies.clear()
        copyStore()
    }

    /** Writes what operator and replicas have written and the store has lost. */
    @Synchronized
    fun writeAgain() = written.forEach { (key, text) -> if (store.text(key) != text) store.put(key, text) }

    private fun agentHost(rank: Int) = "127.0.2.${rank + 1}"

    private fun zone(index: Int) = "z${index % ZONES}"

    private fun start(role: String, name: String, host: String, storePort: Int, rank: Int?): ManagedProcess {
        val settings = File(directory, "$name.yaml").apply { parentFile.mkdirs() }
        val roleSettings = if (rank == null) {
            "callers: \"$host:${basePort + CALLER_OFFSET}\"\nreadiness: \"$host:${basePort + READINESS_OFFSET}\""
        } else {
            "replica: \"$host:${basePort + REPLICA_OFFSET}\"\nservice: $MODEL"
        }
        settings.writeText(
            """
            |instance: $name
            |machine: $host
            |zone: ${zone(name.substringAfterLast('-').toInt())}
            |$roleSettings
            |internalPorts: [${basePort + INTERNAL_OFFSET}, ${basePort + INTERNAL_OFFSET}]
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
        groups.forEach { it.close() }
        store.close()
    }

    companion object {
        const val HOST = "soak.example"
        const val VALID_KEY = "key-that-stays"
        const val REVOKED_KEY = "key-that-goes"
        const val REVOCATION_MILLIS = 5_000L
        const val CONFIGURATION_MILLIS = 2_000L
        const val RETRY_SLACK = 100
        const val MAX_BODY_BYTES = 4 * 1024 * 1024

        const val COPY_INTERVAL_MILLIS = 250L

        /** Part of some prompts. It crashes replicas while the fault is active. */
        const val DEADLY_PART = "deadly"

        /** Keys of entries of another writer, between those of the replicas. */
        private val FOREIGN_NAMES =
            listOf(" a", "plain-0 (copy)", "plain-0&after=servers/z", "rank-0#1", "rank-1%2", "z+")

        /** Small, so that lists have several pages and some end with a foreign entry. */
        private const val STORE_PAGE_ITEMS = 3
        private const val MAX_GROUPS = 2L
        private const val MODEL = "model"
        private const val PLAIN = "plain"
        private const val JAR = "target/jujubelead.jar"
        private const val SLOTS = 4
        private const val ZONES = 3
        private const val EXPERTS_PER_RANK = 4
        private const val MAX_COPIES = 40
        private const val VERSION_STEP = 3L
        private const val FIRST_PORT = 21_000
        private const val PORT_SLOTS = 200L
        private const val PORTS_PER_RUN = 10
        private const val CALLER_OFFSET = 0
        private const val READINESS_OFFSET = 1
        private const val REPLICA_OFFSET = 2
        private const val INTERNAL_OFFSET = 3
    }
}
