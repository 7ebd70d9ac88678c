package org.jujubelead.claims

import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.ids.AttemptId

/** The outcome of a call as reported to its caller. */
internal enum class CallOutcome { SUCCESS, NOT_RUN, UNKNOWN }

/** The events of one simulated run, as observed by callers, entry instances and targets. */
internal class History {
    class Run(val key: Int, val attempt: AttemptId, val atMillis: Long)

    class Answer(val key: Int, val attempts: List<AttemptId>, val outcome: CallOutcome, val atMillis: Long)

    val runs = ArrayList<Run>()
    val answers = ArrayList<Answer>()
    val decisions = ArrayList<Pair<AttemptId, ClaimDecision>>()

    /** Returns violations of P3: if a request is answered `not-run`, none of its attempts ever runs. */
    fun notRunViolations(): List<String> = answers.filter { it.outcome == CallOutcome.NOT_RUN }.flatMap { answer ->
        runs.filter { it.attempt in answer.attempts }
            .map { "key ${answer.key}: answered not-run at ${answer.atMillis}, ${it.attempt} ran at ${it.atMillis}" }
    }

    /** Returns violations of P4: the action of a key runs at most once. */
    fun atMostOnceViolations(): List<String> = runs.groupBy { it.key }.filterValues { it.size > 1 }
        .map { (key, runs) -> "key $key ran ${runs.map { "${it.attempt} at ${it.atMillis}" }}" }

    /** Returns mismatches of decisions and log: a granted claim must be in the log, an unavailable one must not. */
    fun logViolations(log: Set<AttemptId>): List<String> = decisions.mapNotNull { (attempt, decision) ->
        when {
            decision is ClaimDecision.Granted && attempt !in log -> "$attempt was granted and is not in the log"
            decision == ClaimDecision.Unavailable && attempt in log -> "$attempt was unavailable and is in the log"
            else -> null
        }
    }
}

/** Defects that a run injects to show that the checker named by [detectedBy] detects them. */
internal enum class Defect(val detectedBy: String) {
    /** Entry instances dispatch without a claim. */
    NO_CLAIM("P4"),

    /** Log entries are written without comparing the version of their slot. */
    NO_FENCE("log"),

    /** A write whose answer was lost is treated as a write that had no effect. */
    LOST_ANSWER_IS_FAILURE("log"),

    /** Entry instances dispatch after an uncertain claim. */
    UNCERTAIN_IS_DISPATCHED("P4"),

    /** Agents confirm the cancellation of an unknown attempt without recording a tombstone. */
    NO_TOMBSTONE("P4"),

    /** The tick of an attempt is read at its dispatch instead of at its claim. */
    TICK_AT_DISPATCH("P4"),

    /** A new incarnation of an agent answers for the attempts of the previous one. */
    NO_INCARNATION_CHECK("P4"),

    /** Agents confirm the cancellation of attempts that were already handed over to the target. */
    CANCEL_IGNORES_HAND_OVER("P3"),

    /** Entry instances replace the holder of a key although the state of its attempt is unknown. */
    UNKNOWN_IS_REPLACED("P4"),
}
