/**
 * Load from half to three times the capacity with one greedy workspace, and faults at the maximum load: the loss of
 * a target and an outage of the key-value service. Each run is repeated without admission control and retry budgets.
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

/** The fault that is injected in the middle of a run. */
private enum class Fault { NONE, TARGET, KEY_VALUE }

private data class RunConfig(val workload: Workload, val load: Double, val fault: Fault, val limits: Boolean)

public class OverloadExperiment : Experiment {
    override val name: String = "overload"

    private val greedy = WorkspaceId("greedy")

    override fun run(options: ExperimentOptions): Boolean {
        val seconds = if (options.quick) 60 else 140
        val workloads = if (options.quick) listOf(Workload.CHAT) else Workload.entries
        val loads = listOf(0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0)
        val settings = workloads.flatMap { workload ->
            loads.map { RunConfig(workload, it, Fault.NONE, true) } +
                listOf(Fault.TARGET, Fault.KEY_VALUE).map { RunConfig(workload, loads.last(), it, true) }
        }.flatMap { listOf(it, it.copy(limits = false)) }
        val seed = REPORT_SEED * options.seed
        println("traces report-*-$seed, reports 1 s late; goodput in answers on time per second")
        println("workload  load fault      limits   goodput  within share on time  greedy on time  retries/requests")
        val results = ReplayPool().use { pool ->
            settings.map { it to pool.start { replay(it, seed, seconds) } }.associate { (config, run) ->
                config to
                    run.get()
            }
        }
        val lines = JsonLines(name)
        for ((config, result) in results) report(config, result, lines)
        lines.write()
        workloads.forEach { plot(it, results) }
        return workloads.map { checkObjectives(it, results) }.all { it }
    }

    private fun replay(config: RunConfig, seed: Long, seconds: Int): ReplayResult {
        val capacity = TARGETS * Replay.capacityPerTarget(TraceSpec(config.workload, 1, "tune"), TARGETS)
        val micros = seconds * 1_000_000L
        return Replay(
            trace(config, seed, capacity, seconds),
            ReplayOptions(
                TwoChoices(),
                reportLagMicros = 1_000_000,
                lostAtMicros = if (config.fault == Fault.TARGET) micros / 2 else null,
                endMicros = micros,
                admission = config.limits,
                limits = config.limits,
                agentQueue = AGENT_QUEUE,
                keyedShare = if (config.fault == Fault.KEY_VALUE) KEYED_SHARE else 0.0,
                outage = if (config.fault == Fault.KEY_VALUE) micros / 2..micros * 3 / 4 else LongRange.EMPTY,
                seed = seed,
            ),
        ).run()
    }

    /** Nine workspaces share at most half of the capacity. The rest of the load comes from the greedy workspace. */
    private fun trace(config: RunConfig, seed: Long, capacity: Double, seconds: Int): List<TraceRequest> {
        val othersLoad = minOf(0.5, config.load / 2)
        val others = TraceSpec(config.workload, seed, "report").generate(capacity * othersLoad, seconds)
            .mapIndexed { i, request ->
                TraceRequest(request.atMicros, WorkspaceId("w${i % 9}"), request.prefixes, request.outputTokens)
            }
        val greedyRequests = TraceSpec(
            config.workload,
            seed + 1,
            "report",
        ).generate(capacity * (config.load - othersLoad), seconds)
            .map { TraceRequest(it.atMicros, greedy, it.prefixes, it.outputTokens) }
        return (others + greedyRequests).sortedBy { it.atMicros }
    }

    private fun report(config: RunConfig, result: ReplayResult, lines: JsonLines) {
        val othersOnTime = onTime(result) { it.request.workspace != greedy }
        val greedyOnTime = onTime(result) { it.request.workspace == greedy }
        println(
            "%-8s %5.2f %-10s %-6s %9.2f %20.2f%% %14.2f%% %16.2f%%".format(
                config.workload.name.lowercase(),
                config.load,
                config.fault.name.lowercase(),
                if (config.limits) "on" else "off",
                result.goodput,
                othersOnTime * 100,
                greedyOnTime * 100,
                retryRatio(result) * 100,
            ),
        )
        lines.add(
            "workload" to config.workload,
            "load" to config.load,
            "fault" to config.fault,
            "limits" to config.limits,
            "goodput" to result.goodput, "withinShareOnTime" to othersOnTime, "greedyOnTime" to greedyOnTime,
            "retries" to retryRatio(result), "requests" to result.requests.size,
        )
    }

    /**
     * Returns the fraction of the matching requests that were answered on time. Requests that could not be claimed are
     * excluded, because they are answered `not-run` immediately.
     */
    private fun onTime(result: ReplayResult, include: (RequestResult) -> Boolean): Double {
        val requests = result.requests.filter { include(it) && !it.unclaimed }
        return requests.count { it.onTime }.toDouble() / requests.size.coerceAtLeast(1)
    }

    /** Returns the number of retries relative to the number of first attempts. */
    private fun retryRatio(result: ReplayResult): Double =
        result.retries.toDouble() / (result.attempts - result.retries).coerceAtLeast(1)

    private fun plot(workload: Workload, results: Map<RunConfig, ReplayResult>) {
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

    private fun checkObjectives(workload: Workload, results: Map<RunConfig, ReplayResult>): Boolean {
        val limited = results.filterKeys { it.workload == workload && it.limits }
        val sweep = limited.filterKeys { it.fault == Fault.NONE }
        val (peakAt, peak) = sweep.maxBy { it.value.goodput }
        val checks = sweep.filterKeys { it.load > peakAt.load }.map { (config, result) ->
            checkMinimum(
                "goodput at ${config.load} relative to its peak",
                result.goodput / peak.goodput,
                atLeast = 0.95,
            )
        } + limited.flatMap { (config, result) ->
            val label = "at ${config.load}, fault ${config.fault.name.lowercase()}"
            listOf(
                checkMinimum(
                    "within share on time $label",
                    onTime(result) {
                        it.request.workspace != greedy
                    },
                    atLeast = 0.99,
                ),
                checkMinimum("load without retries $label", 1 - retryRatio(result), atLeast = 0.9),
            )
        }
        println("${workload.name.lowercase()}: goodput has its peak of %.2f/s at ${peakAt.load}".format(peak.goodput))
        return checks.all { it }
    }

    private fun checkMinimum(what: String, found: Double, atLeast: Double): Boolean {
        if (found < atLeast) println("NOT MET $what: %.4f, aim $atLeast".format(found))
        return found >= atLeast
    }

    private companion object {
        const val REPORT_SEED = 501L
        const val AGENT_QUEUE = 16
        const val KEYED_SHARE = 0.1
    }
}
