/** Whether a failed attempt is tried again on another target. */
package org.jujubelead.core.retry

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp

/** How an attempt failed. */
public enum class AttemptFailure {
    /** The agent refused because it drains or is another incarnation. */
    REFUSED_LEAVING,

    /** The agent or the target refused because it is overloaded. */
    REFUSED_OVERLOADED,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection broke or went silent. */
    CONNECTION_LOST,

    /** The target failed while it ran the attempt. */
    TARGET_FAILED,

    /** The key-value service did not answer, so that a keyed call could not be claimed. */
    CLAIM_UNAVAILABLE,
}

/**
 * A failed attempt of a request.
 *
 * @property attempts attempts made, with this one.
 * @property deadline the instant by which the request must be answered.
 * @property retriedDownstream another level of the path has tried again already.
 */
public data class FailedAttempt(
    val failure: AttemptFailure,
    val workspace: WorkspaceId,
    val attempts: Int,
    val deadline: Timestamp,
    val retriedDownstream: Boolean = false,
)

/** Why a request is not tried again. */
public enum class GiveUpReason { NOT_SAFE, NOT_USEFUL, DEADLINE, ATTEMPTS, BUDGET, OTHER_LEVEL }

public sealed interface RetryDecision {
    /** Choose another target and send it, if that happens before [deadline]. */
    public data class Retry(val deadline: Timestamp) : RetryDecision

    /** Answer with the failure. [notRun] is true when the request has not run and never will. */
    public data class GiveUp(val reason: GiveUpReason, val notRun: Boolean) : RetryDecision
}

/**
 * Only the entry uses this policy; agents and targets never try again.
 *
 * @property maxAttempts attempts of one request, with the first.
 */
public data class RetryPolicy(val maxAttempts: Int = 3) {
    /**
     * Decides about [failed] and takes a token from [budget] when a retry needs one.
     *
     * @param idempotent the request may run twice.
     * @param possiblyHandedOver the attempt may have reached the target.
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
     * A refusal by a leaving target costs the targets nothing and happens at most once per target and entry, because
     * the target is no candidate afterwards. Budgeting it would let a planned stop fail requests.
     */
    private fun needsToken(failure: AttemptFailure): Boolean = failure != AttemptFailure.REFUSED_LEAVING
}
