/** Process-level fault runs: `scripts/prove [--seed N] [--runs N] [PROMISE]`. */
package org.jujubelead.bench.prove

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.io.File
import kotlin.system.exitProcess

private const val DEFAULT_RUNS = 20
private const val EXIT_USAGE = 2
private val traces = File("target/prove")

private class ProveOptions(val seed: Long, val runs: Int, val promise: String?)

/** Runs, faults and violations of one promise. */
private class Tally {
    var runs = 0
    var faults = 0
    val violations = ArrayList<String>()
    var failedRuns = 0
}

private fun parse(args: Array<String>): ProveOptions? {
    var seed = 1L
    var runs = DEFAULT_RUNS
    var promise: String? = null
    val rest = args.iterator()
    while (rest.hasNext()) {
        when (val arg = rest.next()) {
            "--seed" -> seed = rest.nextNumber() ?: return null
            "--runs" -> runs = rest.nextNumber()?.toInt() ?: return null
            else -> promise = arg.uppercase().takeIf { id -> Promise.entries.any { it.id == id } } ?: return null
        }
    }
    return ProveOptions(seed, runs, promise)
}

private fun Iterator<String>.nextNumber(): Long? = if (hasNext()) next().toLongOrNull() else null

public fun main(args: Array<String>) {
    val options = parse(args)
    if (options == null) {
        val ids = Promise.entries.joinToString("|") { it.id }
        System.err.println("usage: scripts/prove [--seed N] [--runs N] [$ids]")
        exitProcess(EXIT_USAGE)
    }
    exitProcess(if (Prover(options).run()) 0 else 1)
}

private class Prover(private val options: ProveOptions) {
    private val tallies = Promise.entries.associateWith { Tally() }
    private val allCalls = ArrayList<CallRecord>()
    private val allExecutions = ArrayList<Execution>()
    private val directory = File(traces, "seed-${options.seed}").apply {
        deleteRecursively()
        mkdirs()
    }

    fun run(): Boolean {
        val scenarios = listOf(FaultScenario(), StopScenario(), SettingsScenario())
            .filter { scenario -> options.promise == null || scenario.promises.any { it.id == options.promise } }
        val start = System.currentTimeMillis()
        Fleet(FleetShape(), File(directory, "processes")).use { fleet ->
            println("started ${fleet.members.size} processes with ${fleet.agents.size} targets in ${seconds(start)} s")
            val context = RunContext(fleet)
            runBlocking { awaitServing(context, "start") }
            scenarios.forEach { scenario -> repeat(options.runs) { run(scenario, context, it) } }
            late(context)
        }
        return report(scenarios.flatMap { it.promises }.toSet(), start)
    }

    private fun run(scenario: Scenario, context: RunContext, index: Int) {
        val seed = options.seed * SEEDS_PER_CALL + index
        val name = "${scenario.promises.first().id}-$seed"
        val history = try {
            runBlocking { scenario.run(context, name, seed) }
        } catch (e: IllegalStateException) {
            return aborted(scenario, name, e)
        }
        allCalls += history.calls
        allExecutions += history.executions
        File(directory, "$name.json").writeText(Json.encodeToString(history))
        // Answers and executions are checked in every run, whatever it puts to the test.
        val always = listOf(Promise.WHOLE_ANSWER, Promise.NOT_RUN, Promise.AT_MOST_ONCE)
        (scenario.promises + always).toSet().forEach { promise ->
            val found = promise.check(history)
            val tally = tallies.getValue(promise)
            if (promise in scenario.promises) {
                tally.runs += 1
                tally.faults += history.faults.size
            }
            count(tally, promise, name, found)
        }
    }

    private fun count(tally: Tally, promise: Promise, name: String, found: List<String>) {
        if (found.isEmpty()) return
        tally.failedRuns += 1
        tally.violations += found
        found.take(PRINTED).forEach { println("${promise.id} violated in $name (seed ${options.seed}): $it") }
        if (found.size > PRINTED) println("  and ${found.size - PRINTED} more, see $directory/$name.json")
    }

    /** A system that does not serve again after a run counts against every promise of the run. */
    private fun aborted(scenario: Scenario, name: String, cause: IllegalStateException) {
        println("$name did not end: ${cause.message}")
        scenario.promises.forEach {
            tallies.getValue(it).runs += 1
            tallies.getValue(it).failedRuns += 1
            tallies.getValue(it).violations += "$name did not end: ${cause.message}"
        }
    }

    /** Executions can start after the run of their call has ended. */
    private fun late(context: RunContext) {
        val late = context.executions.next()
        val all = RunHistory(seed = options.seed, calls = allCalls, executions = allExecutions + late)
        listOf(Promise.NOT_RUN, Promise.AT_MOST_ONCE).forEach { promise ->
            val tally = tallies.getValue(promise)
            count(tally, promise, "all runs together", promise.check(all) - tally.violations.toSet())
        }
    }

    private fun report(promises: Set<Promise>, start: Long): Boolean {
        println()
        val kinds = allCalls.groupBy { it.kind }.toSortedMap()
        kinds.forEach { (kind, calls) -> println("%-12s %s".format(kind, outcomes(calls))) }
        println("${allExecutions.size} executions, ${seconds(start)} s in all, traces in $directory")
        tallies.filter { it.key in promises || it.value.violations.isNotEmpty() }.forEach { (promise, t) ->
            val name = promise.name.lowercase().replace('_', '-')
            println(
                "${promise.id} %-13s %3d runs %4d faults %3d violations".format(
                    name,
                    t.runs,
                    t.faults,
                    t.violations.size,
                ),
            )
        }
        val failed = tallies.values.sumOf { it.failedRuns }
        val passed = (tallies.values.sumOf { it.runs } - failed).coerceAtLeast(0)
        println("$passed passed, $failed failed")
        return failed == 0
    }

    private fun outcomes(calls: List<CallRecord>): String {
        val whole = calls.count { it.status == Http.OK && it.complete }
        val notRun = calls.count { it.notRun }
        val refused = calls.count { !it.connected }
        val other = calls.size - whole - notRun - refused
        return "${calls.size} calls: $whole whole, $notRun not-run, $other unknown or broken, $refused not connected"
    }

    private fun seconds(start: Long) = (System.currentTimeMillis() - start) / MILLIS_PER_SECOND

    private companion object {
        const val SEEDS_PER_CALL = 1_000L
        const val PRINTED = 5
        const val MILLIS_PER_SECOND = 1_000L
    }
}
