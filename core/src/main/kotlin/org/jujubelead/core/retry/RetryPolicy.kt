/** Decides whether a failed attempt is retried on another target. */
package org.jujubelead.core.retry

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp

/** How an attempt failed. */
public enum class AttemptFailure {
    /** The agent refused because it is draining or is another incarnation. */
    REFUSED_LEAVING,

    /** The agent or the target refused because it is overloaded. */
    REFUSED_OVERLOADED,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection was closed, or nothing arrived on it before the timeout. */
    CONNECTION_LOST,

    /** The target failed while it ran the attempt. */
    TARGET_FAILED,

    /** The key-value service did not answer, so the idempotency key could not be claimed. */
    CLAIM_UNAVAILABLE,
}

/**
 * A failed attempt of a request.
 *
 * @property attempts number of attempts so far, including this one.
 * @property deadline time by which the request must be answered.
 * @property retriedDownstream true when a component further down the path has already retried.
 */
public data class FailedAttempt(
    val failure: AttemptFailure,
    val workspace: WorkspaceId,
    val attempts: Int,
    val deadline: Timestamp,
    val retriedDownstream: Boolean = false,
)

/** Why a request is not retried. */
public enum class GiveUpReason { NOT_SAFE, NOT_USEFUL, DEADLINE, ATTEMPTS, BUDGET, OTHER_LEVEL }

public sealed interface RetryDecision {
    /** Retry on another target, if it can be sent before [deadline]. */
    public data class Retry(val deadline: Timestamp) : RetryDecision

    /** Return the failure to the caller. [notRun] is true when the request has not run and never will. */
    public data class GiveUp(val reason: GiveUpReason, val notRun: Boolean) : RetryDecision
}

/**
 * Only entries retry; agents and targets never do.
 *
 * @property maxAttempts maximum number of attempts of one request, including the first.
 */
public data class RetryPolicy(val maxAttempts: Int = 3) {
    /**
     * Decides whether to retry after [failed], and takes a token from [budget] when the retry needs one.
     *
     * @param idempotent true when the request may run more than once.
     * @param possiblyHandedOver true when the attempt may have reached the target.
     */
    public fun next(
        failed: FailedAttempt,
        idempotent: Boolean,
        possiblyHandedOver: Boolean,
        budget: RetryBudget,
        now: Timestamp,
    ): RetryDecision {
        val reason = when {
            !idempotent && possiblyHandedOver -> GiveUpReason.NOT_SAFE
            failed.retriedDownstream -> GiveUpReason.OTHER_LEVEL
            failed.failure == AttemptFailure.CLAIM_UNAVAILABLE -> GiveUpReason.NOT_USEFUL
            now >= failed.deadline -> GiveUpReason.DEADLINE
            failed.attempts >= maxAttempts -> GiveUpReason.ATTEMPTS
            needsToken(failed.failure) && !budget.tryTake(failed.workspace) -> GiveUpReason.BUDGET
            else -> null
        }
        return if (reason ==
            null
        ) {
            RetryDecision.Retry(failed.deadline)
        } else {
            RetryDecision.GiveUp(reason, !possiblyHandedOver)
        }
    }

    /**
     * A refusal by a leaving target adds no load and happens at most once per target and entry, because the target is
     * not a candidate afterwards. If it took tokens, a planned shutdown could make requests fail.
     */
    private fun needsToken(failure: AttemptFailure): Boolean = failure != AttemptFailure.REFUSED_LEAVING
}
