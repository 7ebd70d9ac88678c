/** Fault soak of the programs that run on the platform: `scripts/soak [--seed N] [--runs N] [--minutes N]`. */
package org.jujubelead.bench.soak

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.File
import java.util.TreeMap
import kotlin.system.exitProcess

private class SoakOptions {
    @Option(name = "--seed", usage = "first seed; each run has the next one")
    var seed: Long = 1

    @Option(name = "--runs", usage = "number of runs")
    var runs: Int = 1

    @Option(name = "--minutes", usage = "start no run after so many minutes")
    var minutes: Int = MOST_MINUTES

    @Option(name = "--large", usage = "12 gateways and 40 ranks instead of 3 and 6")
    var large: Boolean = false

    @Option(
        name = "--break",
        usage = "break a promise on purpose, to see its check fail: answers, once, refusals or maps",
    )
    var breakage: String? = null
}

public fun main(args: Array<String>) {
    val options = SoakOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (e: CmdLineException) {
        System.err.println("scripts/soak: ${e.message}")
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    val until = System.nanoTime() + options.minutes.toLong() * NANOS_PER_MINUTE
    val faults = TreeMap<String, Int>()
    var requests = 0
    val failed = ArrayList<Long>()
    var runs = 0
    for (seed in options.seed until options.seed + options.runs) {
        if (System.nanoTime() > until) break
        runs++
        val history = SoakRun(seed, if (options.large) LARGE else SMALL).play().broken(options.breakage)
        history.faults.forEach { faults.merge(it.kind, 1, Int::plus) }
        requests += history.calls.size
        val violations = check(history)
        if (violations.isNotEmpty()) failed += seed
        val served = history.calls.count { (it.end as? CallEnd.Answer)?.status == OK }
        println(
            "seed $seed: ${history.calls.size} requests, $served served, ${history.faults.size} faults, " +
                "${violations.size} violations",
        )
        violations.take(SHOWN).forEach { println("  ${it.promise}: ${it.detail}") }
    }
    println("faults: " + faults.entries.joinToString(", ") { "${it.key} ${it.value}" })
    println("$runs runs, $requests requests; failed seeds: ${failed.ifEmpty { "none" }}")
    println("${runs - failed.size} passed, ${failed.size} failed")
    exitProcess(if (failed.isEmpty()) 0 else 1)
}

/** Changes the history as a broken program would have, so that a check that sees nothing is noticed. */
private fun SoakHistory.broken(how: String?): SoakHistory {
    fun Call.with(end: CallEnd) = Call(id, path, key, gateway, life, sentAt, endedAt, end)
    val once = calls.first { it.path == "/once/" && (it.end as? CallEnd.Answer)?.status == OK }
    return when (how) {
        null -> this
        "answers" -> copy(calls = calls.map { if (it === once) it.with(CallEnd.Answer(OK, "another's", true)) else it })
        "once" -> copy(runs = runs + runs.first { it.request == once.id })
        "refusals" -> copy(calls = calls.map { if (it === once) it.with(CallEnd.Answer(REFUSED, "", true)) else it })
        "maps" -> copy(mixedPasses = 1)
        else -> throw IllegalArgumentException("unknown breakage \"$how\"")
    }
}

private fun SoakHistory.copy(
    calls: List<Call> = this.calls,
    runs: List<org.jujubelead.platform.standins.Execution> = this.runs,
    mixedPasses: Int = this.mixedPasses,
) = SoakHistory(calls, runs, arrivals, faults, revokedAt, routeAddedAt, mixedPasses, heldMillis, calmFrom)

/** One run: start, faults, calm, end. The programs' logs stay below target/soak. */
private class SoakRun(private val seed: Long, private val sizes: Sizes) {
    fun play(): SoakHistory {
        val directory = File("target/soak/seed-$seed").apply { deleteRecursively() }
        return Deployment(sizes, seed, directory).use { deployment ->
            Thread.sleep(START_MILLIS)
            val callers = SoakCallers(deployment, seed, callers = sizes.gateways * CALLERS_PER_GATEWAY)
            val faults = SoakFaults(deployment, seed)
            callers.start()
            faults.run(FAULTS_MILLIS)
            val calmFrom = System.nanoTime()
            Thread.sleep(CALM_MILLIS)
            callers.stop()
            SoakHistory(
                calls = callers.calls.toList(),
                runs = deployment.runs.runs.toList(),
                arrivals = deployment.runs.arrivals,
                faults = faults.records.toList(),
                revokedAt = faults.revokedAt,
                routeAddedAt = faults.routeAddedAt,
                mixedPasses = deployment.group.mixedPasses,
                heldMillis = deployment.group.heldMillis,
                calmFrom = calmFrom,
            )
        }
    }
}

private const val EXIT_USAGE = 2
private const val MOST_MINUTES = 24 * 60
private const val OK = 200
private const val REFUSED = 503
private const val SHOWN = 8
private const val NANOS_PER_MINUTE = 60_000_000_000L
private const val START_MILLIS = 3_000L
private const val FAULTS_MILLIS = 12_000L
private const val CALM_MILLIS = 9_000L
private const val CALLERS_PER_GATEWAY = 4
private val SMALL = Sizes(gateways = 3, ranks = 6, plain = 3)
private val LARGE = Sizes(gateways = 12, ranks = 40, plain = 6)
