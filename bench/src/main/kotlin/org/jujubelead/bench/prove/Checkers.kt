/** Checks a recorded history against the promises. Each checker returns one line per violation. */
package org.jujubelead.bench.prove

import org.jujubelead.standins.AnswerText

/** The promises that process-level runs check. */
public enum class Promise(public val id: String, public val check: (RunHistory) -> List<String>) {
    WHOLE_ANSWER("P2", ::checkWholeAnswers),
    NOT_RUN("P3", ::checkNotRun),
    AT_MOST_ONCE("P4", ::checkAtMostOnce),
    LEAVING("P5", ::checkLeaving),
    PLANNED_STOP("P6", ::checkPlannedStops),
    SETTINGS("P7", ::checkSettings),
}

/** P5: a leaving target receives no new work after 3 s. */
public const val LEAVING_BOUND_MS: Long = 3_000

/** P7: an accepted revision is in force everywhere within 4 s. */
public const val SETTINGS_BOUND_MS: Long = 4_000

private const val STATUS_OK = 200

/** P2: an answer that ends as a whole one is the whole answer to this call, and a broken one is a prefix of it. */
public fun checkWholeAnswers(history: RunHistory): List<String> = history.calls.mapNotNull { call ->
    val expected = call.expectedText()
    val broken = "${call.kind} ${call.subject} at ${call.entry}"
    when {
        call.status != STATUS_OK -> null

        call.complete && call.text != expected ->
            "$broken: the answer counts as whole but differs at character ${call.text.commonPrefixWith(
                expected,
            ).length}"

        !expected.startsWith(call.text) -> "$broken: the part that arrived is not a part of the answer"

        !call.complete && call.kind == CallKind.CHAT_WHOLE -> "$broken: status 200 with a part of the answer"

        else -> null
    }
}

/** P3: a call whose every answer says `not-run` has no execution, also none that started later. */
public fun checkNotRun(history: RunHistory): List<String> {
    val executed = history.executions.groupBy { it.subject }
    return history.calls.groupBy { it.subject }.mapNotNull { (subject, calls) ->
        val runs = executed[subject].orEmpty()
        if (runs.isEmpty() || !calls.all { it.notRun }) {
            null
        } else {
            "${calls.first().kind} $subject: answered not-run (${calls.first().code}), but ran at " +
                runs.joinToString { "${it.target} (${it.atMillis - calls.last().endMillis} ms after the answer)" }
        }
    }
}

/** P4: a non-idempotent action runs at most once, with its repeats by the caller. */
public fun checkAtMostOnce(history: RunHistory): List<String> =
    history.executions.filter { !it.idempotent }.groupBy { it.subject }.filter { it.value.size > 1 }
        .map { (subject, runs) ->
            "$subject ran ${runs.size} times: ${runs.joinToString { "${it.target}@${it.atMillis}" }}"
        }

/** P5: no execution starts at a target from 3 s after its leave until a new process takes its place. */
public fun checkLeaving(history: RunHistory): List<String> = history.stops.mapNotNull { stop ->
    val late = history.executions.filter {
        it.target == stop.instance && it.atMillis > stop.atMillis + LEAVING_BOUND_MS &&
            it.atMillis < stop.returnedMillis
    }
    val last = late.maxOfOrNull { it.atMillis - stop.atMillis }
    if (last ==
        null
    ) {
        null
    } else {
        "${stop.instance} (${stop.method}): ${late.size} starts after 3 s, the last after $last ms"
    }
}

/**
 * P6: a planned stop cuts no call in progress, and the process ends by itself with exit code 0.
 *
 * Calls sent during the stop count too: one may reach a target that is about to end. No other fault is injected.
 */
public fun checkPlannedStops(history: RunHistory): List<String> = history.stops.flatMap { stop ->
    val cut = history.calls.filter { call ->
        val inProgress = call.startMillis < stop.returnedMillis && call.endMillis > stop.atMillis
        inProgress && call.connected && !call.notRun && !(call.status == STATUS_OK && call.complete)
    }
    val exit = when {
        !stop.mustExit || stop.exitCode == 0 -> emptyList()
        else -> listOf("${stop.instance} (${stop.method}): exit code ${stop.exitCode ?: "none, still running"}")
    }
    exit + cut.map {
        "${stop.instance} (${stop.method}): cut ${it.kind} ${it.subject} at ${it.entry}: " +
            "status ${it.status} ${it.error}"
    }
}

/** P7: revisions reach every process within 4 s, never go back, and no accepted change is lost. */
public fun checkSettings(history: RunHistory): List<String> =
    reverted(history) + late(history) + doubled(history) + lost(history)

private fun reverted(history: RunHistory) = history.revisions.groupBy {
    it.instance to it.life
}.values.flatMap { seen ->
    seen.sortedBy { it.atMillis }.zipWithNext().filter { (a, b) -> b.revision < a.revision }
        .map { (a, b) -> "${b.instance}: went back from revision ${a.revision} to ${b.revision}" }
}

private fun late(history: RunHistory) = history.accepted.flatMap { change ->
    history.revisions.filter { seen ->
        val until = history.exemptions
            .filter { it.instance == "*" || it.instance == seen.instance }
            .filter { it.fromMillis <= change.atMillis + SETTINGS_BOUND_MS && it.untilMillis >= change.atMillis }
            .maxOfOrNull { it.untilMillis } ?: change.atMillis
        seen.revision < change.revision && seen.atMillis > maxOf(until, change.atMillis) + SETTINGS_BOUND_MS
    }.groupBy { it.instance }.map { (instance, seen) ->
        val after = seen.maxOf { it.atMillis } - change.atMillis
        "$instance: revision ${change.revision} not in force $after ms after its acceptance"
    }
}

private fun doubled(history: RunHistory) = history.accepted.groupBy { it.revision }.filter { it.value.size > 1 }
    .map { (revision, all) -> "revision $revision was accepted for ${all.joinToString { "${it.field}=${it.value}" }}" }

private fun lost(history: RunHistory) = history.accepted.groupBy { it.field }.mapNotNull { (field, all) ->
    val last = all.maxBy { it.revision }
    val found = history.finalValues[field]
    if (found == last.value) null else "$field: revision ${last.revision} set ${last.value}, found $found"
}

/** The text of the whole answer. */
internal fun CallRecord.expectedText(): String = when (kind) {
    CallKind.CHAT_STREAM, CallKind.CHAT_WHOLE ->
        AnswerText(prompt = promptOf(subject), seed = seed).tokens(maxTokens).joinToString("")

    CallKind.GET -> lookupPath(subject)

    CallKind.POST, CallKind.KEYED_POST -> subject
}

/** The prompt that reaches the engine when a caller sends [subject] as its one message. */
internal fun promptOf(subject: String): String = "user: $subject"

/** Path of a lookup below the service's prefix. */
internal fun lookupPath(subject: String): String = "/lookup?call=$subject"
