/**
 * Compares the routing policy with the baselines on the same traces, behind the same admission, retries and membership.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.core.routing.BoundedHash
import org.jujubelead.core.routing.LeastReported
import org.jujubelead.core.routing.RoundRobin
import org.jujubelead.core.routing.RoutingPolicy
import org.jujubelead.core.routing.TwoChoices
import org.jujubelead.core.routing.TwoRandom

/** One row of the table: load relative to capacity, age of reports, and a fault. */
internal data class Row(
    val workload: Workload,
    val load: Double,
    val lagSeconds: Int,
    val slow: Boolean = false,
    val lost: Boolean = false,
) {
    val label: String
        get() = "%-7s %3.0f %% %d s %s".format(
            workload.name.lowercase(),
            load * 100,
            lagSeconds,
            if (slow) {
                "slow"
            } else if (lost) {
                "lost"
            } else {
                "-"
            },
        )

    fun options(policy: RoutingPolicy, seconds: Int, seed: Long) = ReplayOptions(
        policy,
        reportLagMicros = lagSeconds * MICROS,
        slowTarget = slow,
        lostAtMicros = if (lost) seconds * MICROS / 2 else null,
        endMicros = seconds * MICROS,
        seed = seed,
    )

    private companion object {
        const val MICROS = 1_000_000L
    }
}

internal const val TARGETS = 12

/** Runs [row] over traces of [purpose] with the seeds from [firstSeed] on. */
internal fun cell(row: Row, policy: RoutingPolicy, purpose: String, firstSeed: Long, traces: Int, seconds: Int): Cell =
    Cell(
        (0 until traces).map { i ->
            val spec = TraceSpec(row.workload, firstSeed + i, purpose)
            val capacity = Replay.capacityPerTarget(TraceSpec(row.workload, CAPACITY_SEED, "tune"), TARGETS)
            val trace = spec.generate(capacity * TARGETS * row.load, seconds)
            Replay(trace, row.options(policy, seconds, firstSeed + i)).run()
        },
    )

private const val CAPACITY_SEED = 1L

public class RoutingExperiment : Experiment {
    override val name: String = "routing"

    private val policies: Map<String, RoutingPolicy> = linkedMapOf(
        "round-robin" to RoundRobin,
        "least-reported" to LeastReported,
        "two-random" to TwoRandom,
        "bounded-hash" to BoundedHash(),
        OWN to TwoChoices(),
    )

    override fun run(options: ExperimentOptions): Boolean {
        val rows = rows(options.quick)
        val firstSeed = REPORT_SEED * options.seed
        val traces = if (options.quick) 1 else TRACES
        val seconds = if (options.quick) QUICK_SECONDS else SECONDS
        val lines = JsonLines(name)
        println("traces report-*-$firstSeed to ${firstSeed + traces - 1}, $seconds s each, of which 20 s warm up")
        println("row                    policy             late refused    p50    p95    p99   hits   imb.")
        val late = ReplayPool().use { pool ->
            rows.map { row ->
                policies.mapValues { (_, policy) ->
                    pool.start { cell(row, policy, "report", firstSeed, traces, seconds) }
                }
            }.mapIndexed { i, cells -> report(rows[i], cells.mapValues { it.value.get() }, lines) }
        }
        lines.write()
        plots(rows, late)
        return verdict(rows, late)
    }

    private fun rows(quick: Boolean): List<Row> = Workload.entries.flatMap { workload ->
        val loads = if (quick) listOf(0.8, 0.95) else listOf(0.5, 0.8, 0.95, 1.2)
        val lags = if (quick) listOf(1) else listOf(0, 1, 5)
        val faults = listOf(Row(workload, 0.8, 1, slow = true), Row(workload, 0.8, 1, lost = true))
        loads.flatMap { load -> lags.map { Row(workload, load, it) } } + faults
    }

    private fun report(row: Row, cells: Map<String, Cell>, lines: JsonLines): Map<String, Double> {
        for ((policy, cell) in cells) {
            println(
                "%-22s %-15s %6.2f%% %6.2f%% %6.3f %6.3f %6.3f %6.2f %6.2f".format(
                    row.label, policy, cell.late * 100, cell.refused * 100, cell.p50, cell.p95, cell.p99,
                    cell.prefixHits, cell.imbalance,
                ),
            )
            lines.add(
                "workload" to row.workload, "load" to row.load, "lagSeconds" to row.lagSeconds, "slow" to row.slow,
                "lost" to row.lost, "policy" to policy, "late" to cell.late, "refused" to cell.refused,
                "p50" to cell.p50, "p95" to cell.p95, "p99" to cell.p99, "prefixHits" to cell.prefixHits,
                "imbalance" to cell.imbalance, "requests" to cell.requests,
            )
        }
        return cells.mapValues { it.value.late }
    }

    private fun plots(rows: List<Row>, late: List<Map<String, Double>>) {
        for (workload in Workload.entries) {
            val shown = rows.indices.filter { i ->
                rows[i].workload == workload && rows[i].lagSeconds == 1 && !rows[i].slow && !rows[i].lost
            }
            val series = policies.keys.map { policy ->
                Series(policy, shown.map { rows[it].load * 100 to late[it].getValue(policy) * 100 })
            }
            writePlot(
                "routing-${workload.name.lowercase()}.svg",
                "Late answers, ${workload.name.lowercase()}, reports 1 s late",
                "load in % of capacity",
                "late answers in %",
                series,
            )
        }
    }

    private fun verdict(rows: List<Row>, late: List<Map<String, Double>>): Boolean {
        var met = true
        rows.forEachIndexed { i, row ->
            val own = late[i].getValue(OWN)
            val (best, least) = (late[i] - OWN).minBy { it.value }
            if (own > least) {
                met = false
                println(
                    "NOT MET ${row.label}: " + "$best has %.3f %% late, $OWN %.3f %%".format(least * 100, own * 100),
                )
            }
            if (row.load == AIM_LOAD && row.lagSeconds == 1) {
                val fewer = 1 - own / least
                if (fewer < AIM_FEWER) met = false
                println("${row.label}: " + "%.0f %% fewer late answers than $best (aim 30 %%)".format(fewer * 100))
            }
        }
        return met
    }

    private companion object {
        const val OWN = "two-choices"
        const val AIM_LOAD = 0.95
        const val AIM_FEWER = 0.3
        const val REPORT_SEED = 101L
        const val TRACES = 3
        const val SECONDS = 140
        const val QUICK_SECONDS = 60
    }
}
