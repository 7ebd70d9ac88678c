/** The promises, checked on what callers, replicas and the operator saw. Each check names what breaks it. */
package org.jujubelead.bench.soak

import org.jujubelead.platform.standins.Execution
import org.jujubelead.platform.standins.SimulatedReplica

/** A broken promise. */
internal data class Violation(val promise: String, val detail: String)

/**
 * What one run left behind.
 *
 * @property calmFrom nanoseconds at which the last fault had ended.
 */
internal class SoakHistory(
    val calls: List<Call>,
    val runs: List<Execution>,
    val arrivals: Map<String, List<Long>>,
    val faults: List<FaultRecord>,
    val revokedAt: Long,
    val routeAddedAt: Long,
    val mixedPasses: Int,
    val heldMillis: Long,
    val calmFrom: Long,
)

internal fun check(history: SoakHistory): List<Violation> = with(history) {
    val runsById = runs.groupBy { it.request }
    wholeAnswers(calls) + runsOnce(calls, runsById) + trueRefusals(calls, runsById) + revoked(this, runsById) +
        nothingCut(this, runsById) + configurationInForce(this) + oneMap(this) + retryBudget(this) + recovered(this)
}

private fun wholeAnswers(calls: List<Call>) = calls.mapNotNull { c ->
    val answer = c.end as? CallEnd.Answer ?: return@mapNotNull null
    val events = (1..SimulatedReplica.EVENTS).joinToString("") { "id: $it\ndata: event $it of ${c.id}\n\n" }
    val own = if (c.path == "/stream/") events else "answer of ${c.id}"
    val good = when {
        answer.status != OK -> true
        answer.whole -> answer.body == own
        else -> own.startsWith(answer.body)
    }
    if (good) null else Violation("whole answers", "${c.id} ${c.path} got \"${answer.body.take(SHOWN)}\"")
}

private fun runsOnce(calls: List<Call>, runs: Map<String, List<Execution>>) = calls.filter { it.path == "/once/" }
    .filter { runs[it.id].orEmpty().size > 1 }
    .map { Violation("at most once", "${it.id} ran ${runs[it.id]?.size} times") }

private fun trueRefusals(calls: List<Call>, runs: Map<String, List<Execution>>) = calls.filter { c ->
    c.path == "/once/" && (c.end as? CallEnd.Answer)?.status in NOT_RUN && c.id in runs
}.map { Violation("not run", "${it.id} got ${(it.end as CallEnd.Answer).status} and ran") }

private fun revoked(history: SoakHistory, runs: Map<String, List<Execution>>): List<Violation> {
    val bound = history.revokedAt + Deployment.REVOCATION_MILLIS * NANOS_PER_MILLI
    return history.calls.filter { it.key == Deployment.REVOKED_KEY && it.sentAt > bound && it.id in runs }
        .map {
            Violation("revocation", "${it.id} ran ${(it.sentAt - history.revokedAt) / NANOS_PER_MILLI} ms after it")
        }
}

/** A request that a replica was given is answered whole, unless its gateway or the replicas had a fault meanwhile. */
private fun nothingCut(history: SoakHistory, runs: Map<String, List<Execution>>) = history.calls.filter { c ->
    val cut = c.end is CallEnd.Closed || (c.end as? CallEnd.Answer)?.whole == false
    cut && c.id in runs && history.faults.none { f ->
        f.excusesCuts && (f.gateway == null || f.gateway == c.gateway) &&
            f.from < c.endedAt + SLACK && f.to > c.sentAt - SLACK
    }
}.map { Violation("nothing cut", "${it.id} ${it.path} at gateway ${it.gateway} was cut") }

/** Within one life of a gateway, a route that was served is not denied later. */
private fun configurationInForce(history: SoakHistory): List<Violation> =
    history.calls.filter { it.path == "/added/" }.groupBy { it.gateway to it.life }.flatMap { (_, calls) ->
        val served = calls.filter { (it.end as? CallEnd.Answer)?.status == OK }.minOfOrNull { it.endedAt }
        calls.filter { c -> served != null && c.sentAt > served && (c.end as? CallEnd.Answer)?.status == DENIED }
            .map { Violation("configuration never back", "${it.id} was denied after the route had been served") }
    } + history.calls.filter { c ->
        val late =
            c.sentAt > maxOf(history.routeAddedAt, history.calmFrom) + Deployment.CONFIGURATION_MILLIS * NANOS_PER_MILLI
        c.path == "/added/" && late && (c.end as? CallEnd.Answer)?.status == DENIED
    }.map { Violation("configuration in force", "${it.id} was denied in a calm deployment") }

private fun oneMap(history: SoakHistory): List<Violation> = listOfNotNull(
    Violation("one map", "${history.mixedPasses} passes began with two maps").takeIf { history.mixedPasses > 0 },
    Violation("one map", "the group is held at the end, for ${history.heldMillis} ms")
        .takeIf { history.heldMillis > MOST_HELD_MILLIS },
)

private fun retryBudget(history: SoakHistory): List<Violation> {
    val repeats = history.arrivals.values.flatMap { it.drop(1) }.sorted()
    val sent = history.calls.map { it.sentAt }.sorted()
    return repeats.indices.mapNotNull { i ->
        val from = repeats[i]
        val inWindow = repeats.count { it in from..from + BUDGET_WINDOW }
        val requests = sent.count { it in from - BUDGET_WINDOW..from + BUDGET_WINDOW }
        val most = RETRY_RATIO * requests + Deployment.RETRY_SLACK
        if (inWindow > most) Violation("retry budget", "$inWindow repeats of $requests requests") else null
    }.take(1)
}

/** Some seconds after the last fault at least nine tenths of the requests with a good key are answered. */
private fun recovered(history: SoakHistory): List<Violation> {
    val late = history.calls.filter { it.sentAt > history.calmFrom + RECOVERY && it.key == Deployment.STEADY_KEY }
    val good = late.count { (it.end as? CallEnd.Answer)?.let { a -> a.status == OK && a.whole } ?: false }
    return listOfNotNull(
        Violation("recovery", "$good of ${late.size} are served after the faults").takeIf { good < late.size * SERVED },
        Violation("recovery", "no requests after the faults").takeIf { late.isEmpty() },
    )
}

private const val OK = 200
private const val DENIED = 404
private val NOT_RUN = setOf(408, 421, 429, 503)
private const val SHOWN = 60
private const val NANOS_PER_MILLI = 1_000_000L
private const val SLACK = 1_500 * NANOS_PER_MILLI
private const val RECOVERY = 5_000 * NANOS_PER_MILLI
private const val BUDGET_WINDOW = 10_000 * NANOS_PER_MILLI
private const val RETRY_RATIO = 0.2
private const val SERVED = 0.9

/** A hold is released within some statuses; a change that is under way at the end may hold rightly. */
private const val MOST_HELD_MILLIS = 1_500L
