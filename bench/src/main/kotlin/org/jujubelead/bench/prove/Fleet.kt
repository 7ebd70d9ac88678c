/** A running system of real processes on loopback: platform stand-ins, and zones of entries, agents and targets. */
package org.jujubelead.bench.prove

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.HttpInstanceDirectory
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.settings.SettingsEdit
import org.jujubelead.settings.SettingsParser
import org.jujubelead.settings.SettingsStore
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Instant
import java.util.UUID

/** Token of the workspace that all calls use. */
internal const val CALLER_TOKEN = "prove-token"
private const val START_LIMIT_MS = 60_000L
private const val POLL_MS = 50L

/** Sizes of the system. */
public data class FleetShape(
    val zones: Int = 3,
    val enginesPerZone: Int = 2,
    val servicesPerZone: Int = 1,
    val capacity: Int = 32,
    val engineOptions: List<String> = listOf("--first-token-ms", "40", "--token-gap-ms", "15"),
    val relays: Boolean = true,
)

/** An entry or agent: its process settings, and the process that runs now. */
public class Member(
    public val instance: String,
    public val role: String,
    public val zone: String,
    public val httpPort: Int,
    public val settings: File,
    public val relay: TcpRelay?,
    public val target: TargetProcess? = null,
) {
    @Volatile
    public lateinit var process: ManagedProcess
}

/** A model engine or plain service beside an agent. */
public class TargetProcess(public val kind: String, public val port: Int) {
    @Volatile
    public lateinit var process: ManagedProcess

    /** Base address of the control interface. */
    public val url: String get() = "http://127.0.0.1:$port"
}

/** The system. [close] ends every process that it started. */
public class Fleet(private val shape: FleetShape, private val directory: File) : AutoCloseable {
    private val java = ProcessHandle.current().info().command().orElse("java")

    // Copies, so that a build during the runs does not change the files of running processes.
    private val standIns = newest("standins/target", "jujubelead-standins-", "-all.jar").copied()
    private val binary = File("target/jujubelead").copied().apply { setExecutable(true) }
    private val started = ArrayList<ManagedProcess>()
    private val platformPort = freePort()

    /** Base address of the platform, past all relays. */
    public val platformUrl: String = "http://127.0.0.1:$platformPort"

    /** Path of each zone to the platform. */
    public val platformRelays: List<TcpRelay> = List(shape.zones) { TcpRelay(platformPort) }

    /** All entries and agents. */
    public val members: List<Member>

    public val entries: List<Member> get() = members.filter { it.role == "entry" }

    public val agents: List<Member> get() = members.filter { it.role == "agent" }

    /** Settings, past all relays. */
    public val settings: SettingsStore = SettingsStore(HttpKeyValueStore(platformUrl))

    // Also when the runs are interrupted, no process is left behind.
    private val hook = Thread { synchronized(started) { started.forEach { it.close() } } }

    init {
        directory.mkdirs()
        Runtime.getRuntime().addShutdownHook(hook)
        launch("platform", standIn("platform", platformPort))
        await("the platform") { Http.get("$platformUrl/v1/instances").status == Http.OK }
        applyFirstSettings()
        members = List(shape.zones) { zone -> zone(zone) }.flatten()
        members.forEach { member ->
            member.target?.let { startTarget(it, member.instance) }
            startMember(member)
        }
        awaitReady()
    }

    /** Starts the process of [member]. */
    public fun startMember(member: Member) {
        val command = listOf(binary.path, member.role, "--settings", member.settings.path)
        member.process = launch(member.instance, command)
    }

    /** Starts the target beside agent [instance]. */
    public fun startTarget(target: TargetProcess, instance: String) {
        val options = if (target.kind ==
            "engine"
        ) {
            shape.engineOptions + listOf("--model", "chat")
        } else {
            listOf("--name", instance)
        }
        val journal = listOf("--journal", journal(instance).path)
        target.process = launch("$instance-target", standIn(target.kind, target.port) + options + journal)
    }

    /** File with the executions of the target beside agent [instance], over all its processes. */
    public fun journal(instance: String): File = File(directory, "$instance.executions").absoluteFile

    /** Waits until every entry and agent is ready and every agent is listed. */
    public fun awaitReady() {
        members.forEach { awaitReady(it) }
        await("the instance list") {
            runBlocking { HttpInstanceDirectory(platformUrl).use { it.snapshot() } }.get().orEmpty().size >=
                members.size
        }
    }

    /** Waits until [member] is ready. */
    public fun awaitReady(member: Member): Unit =
        await(member.instance) { Http.get("http://127.0.0.1:${member.httpPort}/readyz").status == Http.OK }

    override fun close() {
        Runtime.getRuntime().removeShutdownHook(hook)
        started.forEach { it.close() }
        members.forEach { it.relay?.close() }
        platformRelays.forEach { it.close() }
    }

    private fun zone(index: Int): List<Member> {
        val zone = "zone-${'a' + index}"
        val agents = List(shape.enginesPerZone) { "engine" } + List(shape.servicesPerZone) { "service" }
        return listOf(member("$zone-entry", "entry", zone, index, null)) + agents.mapIndexed { i, kind ->
            member("$zone-agent-$i", "agent", zone, index, TargetProcess(kind, freePort()))
        }
    }

    private fun member(instance: String, role: String, zone: String, index: Int, target: TargetProcess?): Member {
        val listen = freePort()
        val http = freePort()
        val relay = if (shape.relays && role == "agent") TcpRelay(listen) else null
        if (relay != null) Http.post("$platformUrl/_control/reroute?id=$instance&port=${relay.port}")
        val file = File(directory, "$instance.yaml")
        file.writeText(
            """
            instance: $instance
            zone: $zone
            listen: 127.0.0.1:$listen
            http: 127.0.0.1:$http
            key_value_url: http://127.0.0.1:${platformRelays[index].port}
            directory_url: http://127.0.0.1:${platformRelays[index].port}
            """.trimIndent() + "\n" + targetYaml(target),
        )
        return Member(instance, role, zone, http, file.absoluteFile, relay, target)
    }

    private fun engineOptions() = shape.engineOptions + listOf("--model", "chat", "--capacity", "${shape.capacity}")

    private fun targetYaml(target: TargetProcess?): String = when (target?.kind) {
        null -> ""
        "engine" -> "target: {url: \"${target.url}\", model: chat, capacity: ${shape.capacity}}\n"
        else -> "target: {url: \"${target.url}\", service: booking, capacity: ${shape.capacity}}\n"
    }

    private fun applyFirstSettings(): Unit = runBlocking {
        val zones = List(shape.zones) { "  zone-${'a' + it}: {}" }.joinToString("\n")
        val text = """
            |defaults: {request_timeout_ms: 10000, drain_limit_s: 10, drain_lead_s: 1, max_in_flight: 2000}
            |zones:
            |$zones
            |models:
            |  chat: {}
            |services:
            |  booking: {path_prefix: /booking}
            |workspaces:
            |  prove:
            |    token_sha256: [${sha256(CALLER_TOKEN)}]
            |    models: [chat]
            |    services: [booking]
        """.trimMargin()
        val tree = SettingsParser.parse(text, "prove.yaml").getOrElse { error("settings: $it") }
        val edit = SettingsEdit(OperationId(UUID.randomUUID().toString()), "prove", "first", Instant.now(), null, tree)
        settings.apply(edit).getOrElse { error("settings were not accepted: $it") }
    }

    private fun File.copied(): File = copyTo(File(directory, name), overwrite = true).absoluteFile

    private fun standIn(command: String, port: Int) = listOf(
        java, "-Xmx48m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", standIns.path,
        command, "--port", "$port",
    )

    private fun launch(name: String, command: List<String>): ManagedProcess =
        ManagedProcess(name, command, File(directory, "$name.log")).also { synchronized(started) { started += it } }
}

private fun newest(directory: String, prefix: String, suffix: String): File =
    File(directory).listFiles().orEmpty().filter { it.name.startsWith(prefix) && it.name.endsWith(suffix) }
        .maxByOrNull { it.lastModified() } ?: error("no $prefix*$suffix in $directory; run mvn package first")

/** Ports below the range from which the system takes those of outgoing connections, so that none is taken meanwhile. */
private val ports = (15_000..30_000).shuffled().iterator()

internal fun freePort(): Int {
    while (true) {
        val port = ports.next()
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            return port
        } catch (_: IOException) {
            continue
        }
    }
}

internal fun await(what: String, limitMillis: Long = START_LIMIT_MS, condition: () -> Boolean) {
    val end = System.currentTimeMillis() + limitMillis
    while (!condition()) {
        check(System.currentTimeMillis() < end) { "$what was not ready within $limitMillis ms" }
        Thread.sleep(POLL_MS)
    }
}
