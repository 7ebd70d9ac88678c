/**
 * Resident memory and processor time of one entry and one agent, as real processes, over sizes: targets known, open
 * streams, and requests a second; and the time from the start of a process until it is ready.
 *
 * Targets known are listed in a zone that the entry does not probe, so that only knowing them is measured.
 */
package org.jujubelead.bench.prove

import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.platform.HttpInstanceDirectory
import java.io.File
import java.util.concurrent.atomic.AtomicInteger

/** Aims from the target size: resident memory of a role, and processor time of control. */
private const val MEMORY_AIM_MB = 128.0
private const val IDLE_PROCESSOR_AIM_PERCENT = 2.0

private val TARGET_COUNTS = listOf(2, 1_000, 3_000, 6_900)
private val STREAM_COUNTS = listOf(0, 50, 100, 200)
private val REQUEST_RATES = listOf(0, 50, 100, 200)
private const val WARM_UP_MS = 10_000L
private const val MEASURE_MS = 10_000L
private const val QUICK_MEASURE_MS = 3_000L
private const val BYTES_PER_MB = 1_048_576.0
private const val PERCENT = 100.0
private const val STARTS = 4
private const val CAPACITY = 1_024
private const val LONG_STREAM_TOKENS = 100_000
private const val LONG_DEADLINE_MS = 600_000L
private const val FAR_PORT = 9

/** One row: a size of a sweep and what a process used there. */
private class Row(
    val sweep: String,
    val size: Int,
    val role: String,
    val residentMb: Double,
    val processorPercent: Double,
)

/** The experiment. */
public class FootprintExperiment : Experiment {
    override val name: String = "footprint"

    private val directory = File("target/bench/footprint")
    private val rows = ArrayList<Row>()
    private val counter = AtomicInteger()
    private val seeds = AtomicInteger()

    override fun run(options: ExperimentOptions): Boolean {
        directory.deleteRecursively()
        seeds.set(options.seed.toInt())
        val measureMs = if (options.quick) QUICK_MEASURE_MS else MEASURE_MS
        val starts = sweep("targets known", TARGET_COUNTS, measureMs, ::knowTargets)
        sweep("open streams", STREAM_COUNTS, measureMs, ::openStreams)
        sweep("requests/s", REQUEST_RATES, measureMs, ::sendRequests)
        return report(starts)
    }

    /** Measures one sweep on a fleet of its own; returns start times in milliseconds by role. */
    private fun sweep(
        name: String,
        sizes: List<Int>,
        measureMs: Long,
        load: suspend CoroutineScope.(RunContext, Int) -> Unit,
    ): List<Pair<String, Long>> {
        val shape = FleetShape(
            zones = 1,
            enginesPerZone = 1,
            capacity = CAPACITY,
            engineOptions = listOf("--first-token-ms", "40", "--token-gap-ms", "47"),
            relays = false,
        )
        Fleet(shape, File(directory, name.replace(Regex("[ /]"), "-"))).use { fleet ->
            val context = RunContext(fleet)
            runBlocking { awaitServing(context, "start") }
            sizes.forEach { size -> measure(name, size, context, measureMs, load) }
            return if (rows.none { it.sweep != name }) startTimes(fleet) else emptyList()
        }
    }

    private fun measure(
        sweep: String,
        size: Int,
        context: RunContext,
        measureMs: Long,
        load: suspend CoroutineScope.(RunContext, Int) -> Unit,
    ): Unit = runBlocking {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        scope.launch { load(context, size) }
        delay(WARM_UP_MS)
        val watched = context.fleet.members.filter { it.role == "entry" || it.target?.kind == "engine" }
        val before = watched.map { it.process.processorSeconds() }
        val start = System.nanoTime()
        delay(measureMs)
        val seconds = (System.nanoTime() - start) / NANOS_PER_SECOND
        watched.forEachIndexed { i, member ->
            val row = Row(
                sweep = sweep,
                size = size,
                role = member.role,
                residentMb = member.process.residentBytes() / BYTES_PER_MB,
                processorPercent = (member.process.processorSeconds() - before[i]) / seconds * PERCENT,
            )
            rows += row
            println(
                "%-14s %6d  %-6s %7.1f MB  %6.2f %% of a core"
                    .format(row.sweep, row.size, row.role, row.residentMb, row.processorPercent),
            )
        }
        if (sweep == "targets known") {
            val bytes = Http.get("${context.fleet.platformUrl}/v1/instances").body.length
            println("%-14s %6d  one reading of the instance list takes %d bytes".format(sweep, size, bytes))
        }
        scope.cancel()
    }

    private suspend fun knowTargets(scope: CoroutineScope, context: RunContext, size: Int) {
        check(scope.isActive)
        HttpInstanceDirectory(context.fleet.platformUrl).use { directory ->
            for (i in counter.get() until size - context.fleet.agents.size) {
                directory.announce(farRecord(i)).onFailure { error("announce failed: $it") }
                counter.set(i + 1)
            }
        }
    }

    private fun farRecord(index: Int) = InstanceRecord(
        id = InstanceId("far-agent-$index"),
        incarnation = Incarnation("incarnation-$index"),
        zone = ZoneId("zone-far"),
        role = InstanceRole.AGENT,
        host = "127.0.0.1",
        port = FAR_PORT,
        kind = TargetKind.MODEL,
        serves = "model-far-${index % MODELS}",
    )

    private suspend fun openStreams(scope: CoroutineScope, context: RunContext, size: Int) {
        repeat(size) {
            scope.launch {
                while (isActive) {
                    context.caller.call(
                        plan(context, CallKind.CHAT_STREAM, LONG_STREAM_TOKENS, LONG_DEADLINE_MS),
                    )
                }
            }
        }
    }

    private suspend fun sendRequests(scope: CoroutineScope, context: RunContext, size: Int) {
        if (size == 0) return
        val start = System.nanoTime()
        var sent = 0
        while (scope.isActive) {
            // Points in time and not gaps, so that a late timer does not lower the rate.
            val due = (System.nanoTime() - start) / NANOS_PER_SECOND * size
            while (sent < due) {
                scope.launch { context.caller.call(plan(context, CallKind.CHAT_STREAM, 1, SHORT_DEADLINE_MS)) }
                sent += 1
            }
            delay(1)
        }
    }

    private fun plan(context: RunContext, kind: CallKind, tokens: Int, deadlineMs: Long): PlannedCall {
        val seed = seeds.incrementAndGet()
        return PlannedCall("footprint-$seed", kind, context.fleet.entries.first(), seed.toLong(), tokens, deadlineMs)
    }

    private fun startTimes(fleet: Fleet): List<Pair<String, Long>> = List(STARTS) {
        fleet.members.distinctBy { it.role }.map { member ->
            member.process.close()
            val start = System.nanoTime()
            fleet.startMember(member)
            fleet.awaitReady(member)
            member.role to ((System.nanoTime() - start) / NANOS_PER_MILLI)
        }
    }.flatten()

    private fun report(starts: List<Pair<String, Long>>): Boolean {
        println()
        rows.groupBy { it.sweep to it.role }.forEach { (key, points) ->
            val (sweep, role) = key
            printFit("$role memory, MB", sweep, points.map { Point(it.size.toDouble(), it.residentMb) })
            printFit("$role processor, %", sweep, points.map { Point(it.size.toDouble(), it.processorPercent) })
        }
        starts.groupBy({ it.first }, { it.second }).forEach { (role, times) ->
            println("$role: ready after ${times.sorted().joinToString { "$it ms" }}")
        }
        val lines = rows.map {
            """{"sweep":"${it.sweep}","size":${it.size},"role":"${it.role}",""" +
                """"residentMb":${it.residentMb},"processorPercent":${it.processorPercent}}"""
        }
        File(directory, "footprint.jsonl").writeText(lines.joinToString("\n", postfix = "\n"))
        val heavy = rows.filter { it.residentMb > MEMORY_AIM_MB }
        heavy.forEach { println("aim missed: ${it.role} at ${it.size} ${it.sweep} is over $MEMORY_AIM_MB MB") }
        val busy = rows.filter { it.sweep == "targets known" && it.processorPercent > IDLE_PROCESSOR_AIM_PERCENT }
        busy.forEach {
            println("aim missed: ${it.role} at ${it.size} ${it.sweep} is over $IDLE_PROCESSOR_AIM_PERCENT %")
        }
        return heavy.isEmpty() && busy.isEmpty()
    }

    private fun printFit(what: String, sweep: String, points: List<Point>) {
        val fit = LinearFit.of(points)
        println(
            "%-20s = %8.3f + %9.6f per %-14s largest residual %.3f"
                .format(what, fit.intercept, fit.slope, sweep, fit.largestResidual),
        )
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
        const val MODELS = 10
        const val SHORT_DEADLINE_MS = 5_000L
    }
}
