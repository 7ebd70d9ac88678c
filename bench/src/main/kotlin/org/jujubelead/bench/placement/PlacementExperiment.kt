/** Skew, moved weights and time per decision of expert placement, against its baselines, on generated traces. */
package org.jujubelead.bench.placement

import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale
import kotlin.io.path.writeLines
import kotlin.io.path.writeText

private const val RANKS = 128
private const val EXPERTS = 128
private const val SLOTS_PER_RANK = 2
private const val INTERVALS = 240
private const val QUICK_INTERVALS = 60

/** Aims of docs/design.md, 5.6. */
private const val SKEW_FIRST_MAX_SKEW = 1.02
private const val SKEW_FIRST_MAX_MOVES = 0.10
private const val MOVES_FIRST_MIN_REMOVED = 0.5
private const val MOVES_FIRST_MAX_MOVES = 0.02
private const val MAX_DECISION_MILLIS = 50.0
private const val MAX_STEPS_TO_FIND = 10

private val skewFirst = Policy.Planned(label = "skew-first", skewWeight = 0.9)
private val movesFirst = Policy.Planned(label = "moves-first", skewWeight = 0.1)
private val policies = listOf(
    Policy.Static,
    Policy.NoReplicas,
    Policy.Recomputed,
    Policy.RecomputedMatched,
    skewFirst,
    movesFirst,
    Policy.LowerBound,
)

private class Aim(val trace: String, val text: String, val met: Boolean)

/** The experiment `placement`. Its traces have fixed seeds; the option `--seed` sets the noise of step times. */
public class PlacementExperiment : Experiment {
    override val name: String = "placement"

    override fun run(options: ExperimentOptions): Boolean {
        val intervals = if (options.quick) QUICK_INTERVALS else INTERVALS
        val tuning = listOf(TraceKind.DRIFT, TraceKind.SHIFT, TraceKind.STRAGGLER)
            .map { trace(kind = it, prefix = "tune", seed = LoadTrace.TUNING_SEED, intervals = intervals) }
        val report = TraceKind.entries
            .map { trace(kind = it, prefix = "report", seed = LoadTrace.REPORT_SEED, intervals = intervals) }
        val figures = ArrayList<PlacementFigures>()
        val aims = ArrayList<Aim>()
        // The first decisions of a JVM run uncompiled and would hide the cost of the later ones.
        PlacementRun(trace = tuning.first(), slotsPerRank = SLOTS_PER_RANK, seed = options.seed).run(skewFirst)
        for (trace in tuning + report) {
            val run = PlacementRun(trace = trace, slotsPerRank = SLOTS_PER_RANK, seed = options.seed)
            val rows = policies.map { run.run(it) }
            figures += rows
            rows.forEach { printRow(it) }
            aims += placementAims(rows) + stragglerAims(trace, run.straggler)
        }
        aims.forEach { println("${if (it.met) "met    " else "NOT MET"} ${it.trace}: ${it.text}") }
        write(figures, aims, report)
        return aims.filter { it.trace.startsWith("report") }.all { it.met }
    }

    private fun trace(kind: TraceKind, prefix: String, seed: Long, intervals: Int) =
        LoadTrace.generate(kind, prefix, seed, ranks = RANKS, experts = EXPERTS, intervals = intervals)

    private fun printRow(f: PlacementFigures) = println(
        (
            "%-22s %-18s skew mean %.3f p95 %.3f max %.3f  moves %6d (+%4d warm-up)  " +
                "decision ms mean %.2f max %.2f cpu %.2f"
            ).format(
            Locale.ROOT, f.trace, f.policy, f.mean, f.p95, f.max, f.moves, f.warmUpMoves,
            f.decisionMillis.average(), f.decisionMillis.max(), f.decisionCpuMillis.max(),
        ),
    )

    private fun placementAims(rows: List<PlacementFigures>): List<Aim> {
        val by = rows.associateBy { it.policy }
        val static = by.getValue(Policy.Static.label)
        val recomputed = by.getValue(Policy.Recomputed.label)
        val first = by.getValue(skewFirst.label)
        val cheap = by.getValue(movesFirst.label)
        val removed = (static.mean - cheap.mean) / (static.mean - recomputed.mean)
        val matched = by.getValue(Policy.RecomputedMatched.label)
        val slowest = maxOf(first.decisionMillis.max(), cheap.decisionMillis.max())
        val slowestCpu = maxOf(first.decisionCpuMillis.max(), cheap.decisionCpuMillis.max())
        return listOf(
            aim(first, "mean skew over recomputed", first.mean / recomputed.mean, atMost = SKEW_FIRST_MAX_SKEW),
            aim(first, "moves over recomputed", moveShare(first, recomputed), atMost = SKEW_FIRST_MAX_MOVES),
            aim(first, "moves over matched", moveShare(first, matched), atMost = SKEW_FIRST_MAX_MOVES),
            aim(cheap, "share of skew left", 1 - removed, atMost = 1 - MOVES_FIRST_MIN_REMOVED),
            aim(cheap, "moves over recomputed", moveShare(cheap, recomputed), atMost = MOVES_FIRST_MAX_MOVES),
            aim(first, "slowest decision in processor ms", slowestCpu, atMost = MAX_DECISION_MILLIS),
            aim(first, "slowest decision in ms", slowest, atMost = MAX_DECISION_MILLIS),
        )
    }

    /** Moves of the warm-up count, too. */
    private fun moveShare(ours: PlacementFigures, base: PlacementFigures) =
        (ours.moves + ours.warmUpMoves).toDouble() / (base.moves + base.warmUpMoves)

    private fun aim(f: PlacementFigures, what: String, value: Double, atMost: Double) = Aim(
        trace = f.trace,
        text = "%s %s %.4f, at most %.4f".format(Locale.ROOT, f.policy, what, value, atMost),
        met = value <= atMost,
    )

    private fun stragglerAims(trace: LoadTrace, found: StragglerFigures): List<Aim> = listOfNotNull(
        Aim(
            trace = trace.name,
            text = "straggler found after ${found.stepsToFind} steps, at most $MAX_STEPS_TO_FIND",
            met = (found.stepsToFind ?: Int.MAX_VALUE) <= MAX_STEPS_TO_FIND,
        ).takeIf { trace.kind == TraceKind.STRAGGLER },
        Aim(
            trace = trace.name,
            text = "ranks wrongly taken for stragglers ${found.wronglyFound}, at most 0",
            met = found.wronglyFound == 0,
        ),
    )

    private fun write(figures: List<PlacementFigures>, aims: List<Aim>, report: List<LoadTrace>) {
        val folder = Files.createDirectories(Path.of("target", "bench"))
        val rows = figures.map { f ->
            (
                """{"trace":"%s","policy":"%s","mean":%.4f,"p95":%.4f,"max":%.4f,"moves":%d,"warmUpMoves":%d,""" +
                    """"decisionMsMean":%.3f,"decisionMsMax":%.3f,"decisionCpuMsMax":%.3f}"""
                ).format(
                Locale.ROOT, f.trace, f.policy, f.mean, f.p95, f.max, f.moves, f.warmUpMoves,
                f.decisionMillis.average(), f.decisionMillis.max(), f.decisionCpuMillis.max(),
            )
        }
        val verdicts = aims.map { """{"trace":"${it.trace}","aim":"${it.text}","met":${it.met}}""" }
        folder.resolve("placement.jsonl").writeLines(rows + verdicts)
        folder.resolve("placement.svg").writeText(skewPlot(figures, report.map { it.name }))
    }
}
