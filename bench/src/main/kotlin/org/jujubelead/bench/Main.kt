/** Entry point of the experiments that `scripts/bench` runs. */
package org.jujubelead.bench

import org.jujubelead.bench.claims.ClaimExperiment
import org.jujubelead.bench.membership.MembershipExperiment
import org.jujubelead.bench.overload.OverloadExperiment
import org.jujubelead.bench.placement.MapCostExperiment
import org.jujubelead.bench.placement.PlacementExperiment
import org.jujubelead.bench.prove.FootprintExperiment
import org.jujubelead.bench.routing.RoutingExperiment
import org.jujubelead.bench.routing.TuningExperiment
import org.jujubelead.bench.settings.SettingsExperiment
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

private val experiments: List<Experiment> = listOf(
    RoutingExperiment(),
    TuningExperiment(),
    FootprintExperiment(),
    OverloadExperiment(),
    ClaimExperiment(),
    PlacementExperiment(),
    MapCostExperiment(),
    MembershipExperiment(),
    SettingsExperiment(),
)

public fun main(args: Array<String>) {
    val seedIndex = args.indexOf("--seed")
    val seed = if (seedIndex >= 0) args.getOrNull(seedIndex + 1)?.toLongOrNull() else 1L
    val names = args.filterIndexed { i, arg -> !arg.startsWith("--") && (seedIndex < 0 || i != seedIndex + 1) }
    val unknown = names.filter { name -> experiments.none { it.name == name } }
    if (seed == null || unknown.isNotEmpty()) {
        System.err.println("usage: bench [${experiments.joinToString("|") { it.name }}] [--quick] [--seed N]")
        exitProcess(EXIT_USAGE)
    }
    val options = ExperimentOptions(quick = "--quick" in args, seed = seed)
    val selected = experiments.filter { names.isEmpty() || it.name in names }
    val met = selected.map { it.run(options) }
    exitProcess(if (met.all { it }) 0 else 1)
}
