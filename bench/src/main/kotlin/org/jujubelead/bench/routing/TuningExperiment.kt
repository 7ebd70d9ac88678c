/** Late answers with other constants of the routing policy, on the traces that are kept for choosing them. */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.core.routing.TwoChoices

public class TuningExperiment : Experiment {
    override val name: String = "routing-tune"

    private val variants = listOf(
        TwoChoices(),
        TwoChoices(choices = 2),
        TwoChoices(choices = TARGETS),
        TwoChoices(reportDecaySeconds = 5.0),
        TwoChoices(reportDecaySeconds = 1.0),
        TwoChoices(reportDecaySeconds = 0.1),
        TwoChoices(maxReportWeight = 1.0),
        TwoChoices(maxReportWeight = 0.5),
        TwoChoices(slotTurnoverSeconds = 0.2),
        TwoChoices(inFlightUncertainty = 1.0),
        TwoChoices(inFlightUncertainty = 4.0),
        TwoChoices(crossZoneSeconds = 0.0),
        TwoChoices(prefillSecondsPerBlock = 0.0),
        TwoChoices(prefillSecondsPerBlock = 0.008),
    )

    private val rows = Workload.entries.flatMap { workload ->
        listOf(
            Row(workload, 0.8, 1),
            Row(workload, 0.95, 0),
            Row(workload, 0.95, 1),
            Row(workload, 0.95, 5),
            Row(workload, 1.2, 1),
            Row(workload, 0.8, 1, slow = true),
        )
    }

    override fun run(options: ExperimentOptions): Boolean {
        val traces = if (options.quick) 1 else 3
        val lines = JsonLines(name)
        println("late answers in %, traces tune-*-${options.seed} to ${options.seed + traces - 1}")
        rows.forEachIndexed { i, row -> println("($i) ${row.label}") }
        ReplayPool().use { pool ->
            for ((variant, cells) in variants.associateWith { variant ->
                rows.map { row -> pool.start { cell(row, variant, "tune", options.seed, traces, SECONDS) } }
            }) {
                val late = cells.map { it.get().late * 100 }
                println(late.joinToString(" ") { "%6.2f".format(it) } + "  $variant")
                lines.add("variant" to variant, "late" to late.joinToString(" ") { "%.3f".format(it) })
            }
        }
        lines.write()
        return true
    }

    private companion object {
        const val SECONDS = 80
    }
}
