/** Planned stops under load: SIGTERM, the platform's list of leaving instances, and a maintenance window. */
package org.jujubelead.bench.prove

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.jujubelead.protocol.MaintenanceWindow
import org.jujubelead.protocol.SettingsTree
import java.time.Instant
import kotlin.random.Random

private const val BEFORE_STOP_MS = 1_000L
private const val AFTER_STOP_MS = 4_500L

/** The drain limit of the settings is 10 s. */
private const val EXIT_LIMIT_MS = 11_000L
private const val SETTLE_MS = 500L
private const val WINDOW_LEAD_MS = 6_000L
private const val WINDOW_LENGTH_MS = 5_000L
private const val AFTER_WINDOW_MS = 500L
private const val SERVICE_DELAY_MS = 250

/** Every fourth run is a maintenance window, which takes longest. */
internal class StopScenario : Scenario {
    override val promises = listOf(Promise.LEAVING, Promise.PLANNED_STOP)

    private val profile = LoadProfile(
        callsPerSecond = 30,
        tokens = 20..100,
        deadlineMs = 8_000L..9_000L,
        kinds = CallKind.entries - CallKind.KEYED_POST,
    )

    override suspend fun run(context: RunContext, name: String, seed: Long): RunHistory {
        val fleet = context.fleet
        val random = Random(seed)
        services(fleet, """{"delayMs":$SERVICE_DELAY_MS}""")
        val stops = ArrayList<StopRecord>()
        val calls = underLoad(context, name, seed, profile) {
            delay(BEFORE_STOP_MS)
            stops += when (seed % METHODS) {
                0L -> stop(fleet.agents.random(random), StopMethod.SIGTERM)
                1L -> stop(fleet.entries.random(random), StopMethod.SIGTERM)
                2L -> leave(fleet, fleet.agents.random(random))
                else -> window(fleet, fleet.members.map { it.zone }.distinct().random(random))
            }
        }
        services(fleet, "{}")
        delay(SETTLE_MS)
        val ended = withContext(Dispatchers.IO) { stops.map { finish(fleet, it) } }
        awaitServing(context, name)
        return RunHistory(
            seed = seed,
            calls = calls,
            executions = context.executions.next(),
            stops = ended,
            faults = ended.map { FaultRecord(it.atMillis, "planned stop of ${it.instance} by ${it.method}") },
        )
    }

    private suspend fun stop(member: Member, method: StopMethod): List<StopRecord> {
        val at = System.currentTimeMillis()
        member.process.signal(ProcessSignal.TERM)
        delay(AFTER_STOP_MS)
        return listOf(StopRecord(member.instance, member.role, method, at))
    }

    private suspend fun leave(fleet: Fleet, member: Member): List<StopRecord> {
        val at = System.currentTimeMillis()
        Http.post("${fleet.platformUrl}/_control/leaving?id=${member.instance}")
        delay(AFTER_STOP_MS)
        return listOf(StopRecord(member.instance, member.role, StopMethod.LIST, at))
    }

    /** The bound counts from the start of the window, by which the drain has to be over. */
    private suspend fun window(fleet: Fleet, zone: String): List<StopRecord> {
        val start = Instant.now().plusMillis(WINDOW_LEAD_MS)
        val end = start.plusMillis(WINDOW_LENGTH_MS)
        setWindow(fleet, zone, MaintenanceWindow.newBuilder().setStart("$start").setEnd("$end").build())
        delay(WINDOW_LEAD_MS + WINDOW_LENGTH_MS + AFTER_WINDOW_MS)
        setWindow(fleet, zone, null)
        return fleet.agents.filter { it.zone == zone }.map {
            StopRecord(
                instance = it.instance,
                role = it.role,
                method = StopMethod.WINDOW,
                atMillis = start.toEpochMilli(),
                returnedMillis = end.toEpochMilli(),
                mustExit = false,
            )
        }
    }

    private suspend fun setWindow(fleet: Fleet, zone: String, window: MaintenanceWindow?) {
        val result = editSettings(fleet.settings, "window") { tree: SettingsTree.Builder ->
            val node = tree.getZonesOrThrow(zone).toBuilder()
            if (window == null) node.clearMaintenance() else node.setMaintenance(window)
            tree.putZones(zone, node.build())
        }
        check(result.isOk) { "the maintenance window was not accepted: $result" }
    }

    /** Waits for the end of the process, and starts one in its place. */
    private fun finish(fleet: Fleet, stop: StopRecord): StopRecord {
        val member = fleet.members.first { it.instance == stop.instance }
        val exitCode = if (stop.mustExit) member.process.waitFor(EXIT_LIMIT_MS) else member.process.exitCode
        val returned = minOf(stop.returnedMillis, System.currentTimeMillis())
        if (stop.mustExit || exitCode != null) {
            member.process.close()
            Http.post("${fleet.platformUrl}/_control/remove?id=${stop.instance}")
            fleet.startMember(member)
        }
        fleet.awaitReady(member)
        return stop.copy(exitCode = exitCode, returnedMillis = returned)
    }

    private fun services(fleet: Fleet, faults: String) =
        fleet.agents.mapNotNull { it.target }.filter { it.kind == "service" }
            .forEach { Http.put("${it.url}/_control/service", faults) }

    private companion object {
        const val METHODS = 4L
    }
}
