/** Fault soak of the programs that run on the platform: `scripts/soak [--seed N] [--runs N] [--minutes N]`. */
package org.jujubelead.bench.soak

import org.jujubelead.platform.standins.AnswerEnd
import org.jujubelead.platform.standins.Execution
import org.jujubelead.platform.standins.GivenAnswer
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.File
import java.util.TreeMap
import kotlin.system.exitProcess

private class SoakOptions {
    @Option(name = "--seed", usage = "seed of the first run; each further run uses the next seed")
    var seed: Long = 1

    @Option(name = "--runs", usage = "number of runs")
    var runs: Int = 1

    @Option(name = "--minutes", usage = "start no further run after this many minutes")
    var minutes: Int = MAX_MINUTES

    @Option(name = "--large", usage = "12 gateways and 40 ranks instead of 3 and 6")
    var large: Boolean = false

    @Option(
        name = "--break",
        usage = "inject a violation to verify that its check fails: " +
            "answers, once, refusals, maps, prompts, status, truncated, busy or config",
    )
    var violation: String? = null
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
    val deadline = System.nanoTime() + options.minutes.toLong() * NANOS_PER_MINUTE
    val faults = TreeMap<String, Int>()
    var requests = 0
    val failed = ArrayList<Long>()
    var runs = 0
    for (seed in options.seed until options.seed + options.runs) {
        if (System.nanoTime() > deadline) break
        runs++
        val history = SoakRun(seed, if (options.large) LARGE else SMALL).execute().withViolation(options.violation)
        history.faults.forEach { faults.merge(it.kind, 1, Int::plus) }
        requests += history.calls.size
        val violations = findViolations(history)
        if (violations.isNotEmpty()) failed += seed
        val served = history.calls.count { (it.end as? Outcome.Answer)?.status == OK }
        println(
            "seed $seed: ${history.calls.size} requests, $served served, ${history.faults.size} faults, " +
                "${violations.size} violations",
        )
        for ((promise, broken) in violations.groupBy { it.promise }) {
            println("  $promise: ${broken.size}")
            broken.take(MAX_PRINTED).forEach { println("    ${it.detail}") }
        }
    }
    println("faults: " + faults.entries.joinToString(", ") { "${it.key} ${it.value}" })
    println("$runs runs, $requests requests; failed seeds: ${failed.ifEmpty { "none" }}")
    println("${runs - failed.size} passed, ${failed.size} failed")
    exitProcess(if (failed.isEmpty()) 0 else 1)
}

/** Injects a violation into the history, to verify that the corresponding check detects it. */
private fun SoakHistory.withViolation(how: String?): SoakHistory {
    fun Call.with(end: Outcome) = Call(id, path, key, gateway, incarnation, sentAt, endedAt, end, deadly)
    val once = calls.first { it.path == "/once/" && (it.end as? Outcome.Answer)?.status == OK }
    val answer = once.end as Outcome.Answer
    fun withAnswer(end: Outcome) = copy(calls = calls.map { if (it === once) it.with(end) else it })
    return when (how) {
        null -> this

        "answers" -> withAnswer(answer.copy(body = "another's"))

        "once" -> copy(runs = runs + runs.first { it.request == once.id })

        "refusals" -> withAnswer(Outcome.Answer(REFUSED, "", true))

        "maps" -> copy(mixedPasses = 1)

        "prompts" -> copy(crashes = calls.filter { it.deadly }.map { it.sentAt - NANOS_PER_MINUTE }.take(CRASH_LIMIT))

        "status" -> withAnswer(answer.copy(status = FAILED))

        "config" -> {
            val added = calls.last { it.path == "/added/" }
            copy(calls = calls.map { if (it === added) it.with(Outcome.Answer(DENIED_STATUS, "", true)) else it })
        }

        "busy" -> copy(loopDelays = loopDelays + LoopDelay("gateway-0", "data", atMillis = 0, millis = 600))

        "truncated" -> copy(answers = answers + (once.id to answers.getValue(once.id).map { it.brokenOff() }))

        else -> throw IllegalArgumentException("unknown value of --break: \"$how\"")
    }
}

private fun GivenAnswer.brokenOff() = GivenAnswer(request, status, seal, body, AnswerEnd.BROKEN_OFF)

private fun SoakHistory.copy(
    calls: List<Call> = this.calls,
    runs: List<Execution> = this.runs,
    mixedPasses: Int = this.mixedPasses,
    crashes: List<Long> = this.crashes,
    answers: Map<String, List<GivenAnswer>> = this.answers,
    loopDelays: List<LoopDelay> = this.loopDelays,
) = SoakHistory(
    calls, runs, arrivals, answers, crashes, faults, revokedAt, routeAddedAt, mixedPasses, heldMillis, faultEnd,
    loopDelays,
)

/** One run: start-up, fault injection, recovery, shutdown. The process logs are kept in target/soak. */
private class SoakRun(private val seed: Long, private val size: DeploymentSize) {
    fun execute(): SoakHistory {
        val directory = File("target/soak/seed-$seed").apply { deleteRecursively() }
        return Deployment(size, seed, directory).use { deployment ->
            Thread.sleep(STARTUP_MILLIS)
            val callers = SoakCallers(deployment, seed, callers = size.gateways * CALLERS_PER_GATEWAY)
            val faults = SoakFaults(deployment, seed)
            callers.start()
            faults.run(FAULT_PHASE_MILLIS)
            val faultEnd = System.nanoTime()
            Thread.sleep(RECOVERY_MILLIS)
            callers.stop()
            SoakHistory(
                calls = callers.calls.toList(),
                runs = deployment.executionLog.runs.toList(),
                arrivals = deployment.executionLog.arrivals,
                answers = deployment.executionLog.answers,
                crashes = deployment.executionLog.crashes.toList(),
                faults = faults.records + deployment.executionLog.crashes.map {
                    FaultRecord("replica crashed", gateway = null, from = it, to = it, interrupts = true)
                },
                revokedAt = faults.revokedAt,
                routeAddedAt = faults.routeAddedAt,
                mixedPasses = deployment.groups.sumOf { it.mixedPasses },
                heldMillis = deployment.groups.maxOf { it.heldMillis },
                faultEnd = faultEnd,
                loopDelays = readLoopDelays(directory),
            )
        }
    }
}

private const val EXIT_USAGE = 2
private const val MAX_MINUTES = 24 * 60
private const val OK = 200
private const val REFUSED = 503
private const val DENIED_STATUS = 404
private const val FAILED = 500
private const val MAX_PRINTED = 8
private const val CRASH_LIMIT = 5
private const val NANOS_PER_MINUTE = 60_000_000_000L
private const val STARTUP_MILLIS = 3_000L
private const val FAULT_PHASE_MILLIS = 12_000L
private const val RECOVERY_MILLIS = 9_000L
private const val CALLERS_PER_GATEWAY = 4
private val SMALL = DeploymentSize(gateways = 3, ranks = 6, plain = 3)
private val LARGE = DeploymentSize(gateways = 12, ranks = 40, plain = 6)
