/**
 * Load from half to three times the capacity with one greedy workspace, and faults at the peak: a lost target and an
 * outage of the key-value service. Every run is repeated without admission and without retry budgets.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.overload

import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.bench.routing.JsonLines
import org.jujubelead.bench.routing.Replay
import org.jujubelead.bench.routing.ReplayOptions
import org.jujubelead.bench.routing.ReplayPool
import org.jujubelead.bench.routing.ReplayResult
import org.jujubelead.bench.routing.RequestResult
import org.jujubelead.bench.routing.Series
import org.jujubelead.bench.routing.TARGETS
import org.jujubelead.bench.routing.TraceRequest
import org.jujubelead.bench.routing.TraceSpec
import org.jujubelead.bench.routing.Workload
import org.jujubelead.bench.routing.writePlot
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.routing.TwoChoices

/** What happens in the middle of a run. */
private enum class Fault { NONE, TARGET, KEY_VALUE }

private data class Setting(val workload: Workload, val load: Double, val fault: Fault, val limits: Boolean)

public class OverloadExperiment : Experiment {
    override val name: String = "overload"

    private val greedy = WorkspaceId("greedy")

    override fun run(options: ExperimentOptions): Boolean {
        val seconds = if (options.quick) 60 else 140
        val workloads = if (options.quick) listOf(Workload.CHAT) else Workload.entries
        val loads = listOf(0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0)
        val settings = workloads.flatMap { workload ->
            loads.map { Setting(workload, it, Fault.NONE, true) } +
                listOf(Fault.TARGET, Fault.KEY_VALUE).map { Setting(workload, loads.last(), it, true) }
        }.flatMap { listOf(it, it.copy(limits = false)) }
        val seed = REPORT_SEED * options.seed
        println("traces report-*-$seed, reports 1 s late; goodput in answers on time per second")
        println("workload  load fault      limits   goodput  within share on time  greedy on time  retries/requests")
        val results = ReplayPool().use { pool ->
            settings.map { it to pool.start { replay(it, seed, seconds) } }.associate { (setting, run) ->
                setting to
                    run.get()
            }
        }
        val lines = JsonLines(name)
        for ((setting, result) in results) report(setting, result, lines)
        lines.write()
        workloads.forEach { plot(it, results) }
        return workloads.map { verdict(it, results) }.all { it }
    }

    private fun replay(setting: Setting, seed: Long, seconds: Int): ReplayResult {
        val capacity = TARGETS * Replay.capacityPerTarget(TraceSpec(setting.workload, 1, "tune"), TARGETS)
        val micros = seconds * 1_000_000L
        return Replay(
            trace(setting, seed, capacity, seconds),
            ReplayOptions(
                TwoChoices(),
                reportLagMicros = 1_000_000,
                lostAtMicros = if (setting.fault == Fault.TARGET) micros / 2 else null,
                endMicros = micros,
                admission = setting.limits,
                limits = setting.limits,
                agentQueue = AGENT_QUEUE,
                keyedShare = if (setting.fault == Fault.KEY_VALUE) KEYED_SHARE else 0.0,
                outage = if (setting.fault == Fault.KEY_VALUE) micros / 2..micros * 3 / 4 else LongRange.EMPTY,
                seed = seed,
            ),
        ).run()
    }

    /** Nine workspaces share half of the capacity or less; all else is of the greedy one. */
    private fun trace(setting: Setting, seed: Long, capacity: Double, seconds: Int): List<TraceRequest> {
        val modest = minOf(0.5, setting.load / 2)
        val others = TraceSpec(setting.workload, seed, "report").generate(capacity * modest, seconds)
            .mapIndexed { i, one -> TraceRequest(one.atMicros, WorkspaceId("w${i % 9}"), one.prefixes, one.outputTokens) }
        val own = TraceSpec(setting.workload, seed + 1, "report").generate(capacity * (setting.load - modest), seconds)
            .map { TraceRequest(it.atMicros, greedy, it.prefixes, it.outputTokens) }
        return (others + own).sortedBy { it.atMicros }
    }

    private fun report(setting: Setting, result: ReplayResult, lines: JsonLines) {
        val within = onTime(result) { it.request.workspace != greedy }
        val ofGreedy = onTime(result) { it.request.workspace == greedy }
        println(
            "%-8s %5.2f %-10s %-6s %9.2f %20.2f%% %14.2f%% %16.2f%%".format(
                setting.workload.name.lowercase(),
                setting.load,
                setting.fault.name.lowercase(),
                if (setting.limits) "on" else "off",
                result.goodput,
                within * 100,
                ofGreedy * 100,
                added(result) * 100,
            ),
        )
        lines.add(
            "workload" to setting.workload,
            "load" to setting.load,
            "fault" to setting.fault,
            "limits" to setting.limits,
            "goodput" to result.goodput, "withinShareOnTime" to within, "greedyOnTime" to ofGreedy,
            "retries" to added(result), "requests" to result.requests.size,
        )
    }

    /** Requests that could not be claimed are left out: they are answered `not-run` at once. */
    private fun onTime(result: ReplayResult, counted: (RequestResult) -> Boolean): Double {
        val requests = result.requests.filter { counted(it) && !it.unclaimed }
        return requests.count { it.onTime }.toDouble() / requests.size.coerceAtLeast(1)
    }

    /** Retries relative to first attempts. */
    private fun added(result: ReplayResult): Double =
        result.retries.toDouble() / (result.attempts - result.retries).coerceAtLeast(1)

    private fun plot(workload: Workload, results: Map<Setting, ReplayResult>) {
        val series = listOf(true, false).map { limits ->
            val points = results.filterKeys { it.workload == workload && it.limits == limits && it.fault == Fault.NONE }
            Series(if (limits) "with limits" else "without limits", points.map { it.key.load to it.value.goodput })
        }
        val file = "overload-${workload.name.lowercase()}.svg"
        writePlot(
            file,
            "Goodput, ${workload.name.lowercase()}",
            "load relative to capacity",
            "answers on time per s",
            series,
        )
    }

    private fun verdict(workload: Workload, results: Map<Setting, ReplayResult>): Boolean {
        val own = results.filterKeys { it.workload == workload && it.limits }
        val sweep = own.filterKeys { it.fault == Fault.NONE }
        val (peakAt, peak) = sweep.maxBy { it.value.goodput }
        val checks = sweep.filterKeys { it.load > peakAt.load }.map { (setting, result) ->
            check("goodput at ${setting.load} relative to its peak", result.goodput / peak.goodput, atLeast = 0.95)
        } + own.flatMap { (setting, result) ->
            val label = "at ${setting.load}, fault ${setting.fault.name.lowercase()}"
            listOf(
                check("within share on time $label", onTime(result) { it.request.workspace != greedy }, atLeast = 0.99),
                check("load without retries $label", 1 - added(result), atLeast = 0.9),
            )
        }
        println("${workload.name.lowercase()}: goodput has its peak of %.2f/s at ${peakAt.load}".format(peak.goodput))
        return checks.all { it }
    }

    private fun check(what: String, found: Double, atLeast: Double): Boolean {
        if (found < atLeast) println("NOT MET $what: %.4f, aim $atLeast".format(found))
        return found >= atLeast
    }

    private companion object {
        const val REPORT_SEED = 501L
        const val AGENT_QUEUE = 16
        const val KEYED_SHARE = 0.1
    }
}
