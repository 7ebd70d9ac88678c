package org.jujubelead.claims

import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.ids.AttemptId

/** What a caller is told. */
internal enum class Told { SUCCESS, NOT_RUN, UNKNOWN }

/** What happened in one run, as seen by callers and targets. */
internal class History {
    class Run(val key: Int, val attempt: AttemptId, val atMillis: Long)

    class Answer(val key: Int, val attempts: List<AttemptId>, val told: Told, val atMillis: Long)

    val runs = ArrayList<Run>()
    val answers = ArrayList<Answer>()
    val decisions = ArrayList<Pair<AttemptId, ClaimDecision>>()

    /** P3: an attempt of a request that was answered `not-run` ran, before or after the answer. */
    fun violationsOfNotRun(): List<String> = answers.filter { it.told == Told.NOT_RUN }.flatMap { answer ->
        runs.filter { it.attempt in answer.attempts }
            .map { "key ${answer.key}: told not-run at ${answer.atMillis}, ${it.attempt} ran at ${it.atMillis}" }
    }

    /** P4: the action of a key ran more than once. */
    fun violationsOfAtMostOnce(): List<String> = runs.groupBy { it.key }.filterValues { it.size > 1 }
        .map { (key, runs) -> "key $key ran ${runs.map { "${it.attempt} at ${it.atMillis}" }}" }

    /** The log against what entries were told: a granted claim is in it, an unavailable one never is. */
    fun violationsOfLog(log: Set<AttemptId>): List<String> = decisions.mapNotNull { (attempt, decision) ->
        when {
            decision is ClaimDecision.Granted && attempt !in log -> "$attempt was granted and is not in the log"
            decision == ClaimDecision.Unavailable && attempt in log -> "$attempt is in the log after a refusal"
            else -> null
        }
    }
}

/** Mechanisms that a run leaves out, to show that the checker named by [seenBy] sees their absence. */
internal enum class Defect(val seenBy: String) {
    /** Entries dispatch without a claim. */
    NO_CLAIM("P4"),

    /** Log entries are written whatever version their slot has. */
    NO_FENCE("log"),

    /** A lost answer of the service counts as a write that did not happen. */
    LOST_ANSWER_IS_FAILURE("log"),

    /** Entries dispatch after an uncertain claim. */
    UNCERTAIN_IS_DISPATCHED("P4"),

    /** Agents confirm the cancel of an attempt that never arrived, without a tombstone. */
    NO_TOMBSTONE("P4"),

    /** The tick of an attempt is the latest one known at its dispatch. */
    TICK_AT_DISPATCH("P4"),

    /** A new incarnation of an agent answers for the attempts of the former one. */
    NO_INCARNATION_CHECK("P4"),

    /** Agents confirm the cancel of attempts already handed over. */
    CANCEL_IGNORES_HAND_OVER("P3"),

    /** Entries claim anew when nothing is known about the attempt that holds the key. */
    UNKNOWN_IS_REPLACED("P4"),
}
