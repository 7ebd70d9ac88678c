/** Checks the recorded history of a soak run against the guarantees and reports each violation. */
package org.jujubelead.bench.soak

import org.jujubelead.platform.standins.AnswerEnd
import org.jujubelead.platform.standins.Execution
import org.jujubelead.platform.standins.GivenAnswer
import org.jujubelead.platform.standins.SimulatedReplica

/** A violated guarantee. */
internal data class Violation(val promise: String, val detail: String)

/**
 * The recorded events of one run.
 *
 * @property crashes times at which a prompt part crashed a replica.
 * @property faultEnd `System.nanoTime()` after the last fault had ended.
 */
internal class SoakHistory(
    val calls: List<Call>,
    val runs: List<Execution>,
    val arrivals: Map<String, List<Long>>,
    val answers: Map<String, List<GivenAnswer>>,
    val crashes: List<Long>,
    val faults: List<FaultRecord>,
    val revokedAt: Long,
    val routeAddedAt: Long,
    val mixedPasses: Int,
    val heldMillis: Long,
    val faultEnd: Long,
    val loopDelays: List<LoopDelay>,
)

internal fun findViolations(history: SoakHistory): List<Violation> = with(history) {
    val byId = runs.groupBy { it.request }
    checkBodies(calls) + checkRepeats(calls, byId) + checkRefusals(calls, byId) + checkRevocation(this, byId) +
        checkInterrupts(this, byId) + checkConfig(this) + checkMaps(this) + checkRetries(this) + checkRecovery(this) +
        checkDeadlyPrompts(this) + checkAnswers(this) + checkLoops(this)
}

private fun checkBodies(calls: List<Call>) = calls.mapNotNull { c ->
    val answer = c.end as? Outcome.Answer ?: return@mapNotNull null
    val events = (1..SimulatedReplica.EVENTS).joinToString("") { "id: $it\ndata: event $it of ${c.id}\n\n" }
    val own = if (c.path == "/stream/") events else "answer of ${c.id}"
    val good = when {
        answer.status != OK -> true
        answer.complete -> answer.body == own
        else -> own.startsWith(answer.body)
    }
    if (good) null else Violation("whole answers", "${c.id} ${c.path} got \"${answer.body.take(MAX_CHARS)}\"")
}

private fun checkRepeats(calls: List<Call>, runs: Map<String, List<Execution>>) = calls.filter { it.path == "/once/" }
    .filter { runs[it.id].orEmpty().size > 1 }
    .map { Violation("at most once", "${it.id} was executed ${runs[it.id]?.size} times") }

private fun checkRefusals(calls: List<Call>, runs: Map<String, List<Execution>>) = calls.filter { c ->
    c.path == "/once/" && (c.end as? Outcome.Answer)?.status in NOT_EXECUTED_STATUSES && c.id in runs
}.map { Violation("not run", "${it.id} got ${(it.end as Outcome.Answer).status} but was executed") }

private fun checkRevocation(history: SoakHistory, runs: Map<String, List<Execution>>): List<Violation> {
    val bound = history.revokedAt + Deployment.REVOCATION_MILLIS * NANOS_PER_MILLI
    return history.calls.filter { it.key == Deployment.REVOKED_KEY && it.sentAt > bound && it.id in runs }
        .map {
            Violation("revocation", "${it.id} ran ${(it.sentAt - history.revokedAt) / NANOS_PER_MILLI} ms after it")
        }
}

/**
 * An executed request gets a complete response, unless a fault that may interrupt it occurred meanwhile or a replica
 * broke off its stream.
 */
private fun checkInterrupts(history: SoakHistory, runs: Map<String, List<Execution>>) = history.calls.filter { c ->
    val interrupted = c.end is Outcome.Closed || (c.end as? Outcome.Answer)?.complete == false
    val brokenOff = c.path == "/stream/" && history.answers[c.id].orEmpty().any { it.end == AnswerEnd.BROKEN_OFF }
    interrupted && c.id in runs && !brokenOff && history.faults.none { f ->
        f.interrupts && (f.gateway == null || f.gateway == c.gateway) &&
            f.from < c.endedAt + FAULT_MARGIN_NS && f.to > c.sentAt - FAULT_MARGIN_NS
    }
}.map { Violation("nothing cut", "${it.id} ${it.path} at gateway ${it.gateway} was interrupted") }

/** A gateway process that has served a route does not deny it later, and no gateway denies it after recovery. */
private fun checkConfig(history: SoakHistory): List<Violation> =
    history.calls.filter { it.path == "/added/" }.groupBy { it.gateway to it.incarnation }.flatMap { (_, calls) ->
        val served = calls.filter { (it.end as? Outcome.Answer)?.status == OK }.minOfOrNull { it.endedAt }
        calls.filter { c -> served != null && c.sentAt > served && (c.end as? Outcome.Answer)?.status == DENIED }
            .map { Violation("configuration never back", "${it.id} got 404 after the route had been served") }
    } + history.calls.filter { c ->
        val late =
            c.sentAt > maxOf(history.routeAddedAt, history.faultEnd) + Deployment.CONFIGURATION_MILLIS * NANOS_PER_MILLI
        c.path == "/added/" && late && (c.end as? Outcome.Answer)?.status == DENIED
    }.map { Violation("configuration in force", "${it.id} got 404 after the faults had ended") } +
        checkDeniedLate(history)

/** A gateway that cannot prove its configuration for the time of a revocation denies nothing, whatever the faults. */
private fun checkDeniedLate(history: SoakHistory) = history.calls.filter { c ->
    val late = c.sentAt > history.routeAddedAt + Deployment.REVOCATION_MILLIS * NANOS_PER_MILLI
    c.path == "/added/" && late && (c.end as? Outcome.Answer)?.status == DENIED
}.map {
    val millis = (it.sentAt - history.routeAddedAt) / NANOS_PER_MILLI
    Violation("configuration in force", "${it.id} got 404 $millis ms after the route had been confirmed")
}

private fun checkMaps(history: SoakHistory): List<Violation> = listOfNotNull(
    Violation("one map", "${history.mixedPasses} passes mixed two maps").takeIf { history.mixedPasses > 0 },
    Violation("one map", "the group was still held at the end, for ${history.heldMillis} ms")
        .takeIf { history.heldMillis > MAX_HELD_MILLIS },
)

private fun checkLoops(history: SoakHistory) = history.loopDelays.ofBusyLoops().map {
    Violation("answered on time", "${it.gateway} did nothing else for ${it.millis} ms (${it.loop} loop)")
}

private fun checkRetries(history: SoakHistory): List<Violation> {
    val retries = history.arrivals.values.flatMap { it.drop(1) }.sorted()
    val sent = history.calls.map { it.sentAt }.sorted()
    return retries.indices.mapNotNull { i ->
        val from = retries[i]
        val inWindow = retries.count { it in from..from + BUDGET_WINDOW_NS }
        val requests = sent.count { it in from - BUDGET_WINDOW_NS..from + BUDGET_WINDOW_NS }
        val maxRetries = RETRY_RATIO * requests + Deployment.RETRY_SLACK
        if (inWindow > maxRetries) Violation("retry budget", "$inWindow retries for $requests requests") else null
    }.take(1)
}

/** From 3 s after the fifth crash by a prompt part, few requests with it reach replicas. */
private fun checkDeadlyPrompts(history: SoakHistory): List<Violation> {
    val fifth = history.crashes.sorted().getOrNull(MAX_CRASHES - 1) ?: return emptyList()
    val late = history.calls.filter { it.deadly }
        .sumOf { c -> history.arrivals[c.id].orEmpty().count { it > fifth + STABLE_NS } }
    if (late <= MAX_LATE_DEADLY) return emptyList()
    return listOf(
        Violation("deadly prompts", "$late reached replicas after the fifth of ${history.crashes.size} crashes"),
    )
}

/** From 5 s after the last fault, at least 90 % of the requests with a valid key get a complete response. */
private fun checkRecovery(history: SoakHistory): List<Violation> {
    val late = history.calls.filter {
        it.sentAt > history.faultEnd + RECOVERY_NS && it.key == Deployment.VALID_KEY &&
            !it.deadly
    }
    val good = late.count { (it.end as? Outcome.Answer)?.let { a -> a.status == OK && a.complete } ?: false }
    return listOfNotNull(
        Violation("recovery", "$good of ${late.size} served after the faults").takeIf { good < late.size * MIN_SERVED },
        Violation("recovery", "no requests were sent after the faults").takeIf { late.isEmpty() },
    )
}

private const val OK = 200
private const val DENIED = 404
private val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
private const val MAX_CHARS = 60
private const val NANOS_PER_MILLI = 1_000_000L
private const val FAULT_MARGIN_NS = 1_500 * NANOS_PER_MILLI
private const val RECOVERY_NS = 5_000 * NANOS_PER_MILLI
private const val BUDGET_WINDOW_NS = 10_000 * NANOS_PER_MILLI
private const val RETRY_RATIO = 0.2
private const val MIN_SERVED = 0.9
private const val MAX_CRASHES = 5
private const val MAX_LATE_DEADLY = 3
private const val STABLE_NS = 3_000 * NANOS_PER_MILLI

/** A hold ends within a few status reports, so a map change still in progress at the end may hold the group briefly. */
private const val MAX_HELD_MILLIS = 1_500L
