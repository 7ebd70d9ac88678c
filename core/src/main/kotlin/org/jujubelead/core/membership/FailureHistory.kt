/** Failures and drains of targets, as one entry has observed them. Targets without failures have no history. */
package org.jujubelead.core.membership

import org.jujubelead.core.time.Timestamp

/**
 * @property ejections number of ejections so far; each one doubles the duration of the next.
 * @property ejectedAt start of the current ejection; null when the target is not ejected.
 * @property cause the failure that led to the current ejection.
 * @property lastFailure time of the last failure.
 */
internal data class FailureHistory(
    val consecutiveFailures: Int = 0,
    val ejections: Int = 0,
    val ejectedAt: Timestamp? = null,
    val cause: FailureKind = FailureKind.ERROR,
    val lastFailure: Timestamp = Timestamp.ZERO,
) {
    val suspect: Boolean get() = ejectedAt != null

    fun ejected(kind: FailureKind, now: Timestamp): FailureHistory = copy(
        consecutiveFailures = consecutiveFailures + 1,
        ejections = ejections + 1,
        ejectedAt = ejectedAt ?: now,
        cause = kind,
        lastFailure = now,
    )

    fun failed(now: Timestamp): FailureHistory = copy(consecutiveFailures = consecutiveFailures + 1, lastFailure = now)

    fun reinstated(): FailureHistory = copy(consecutiveFailures = 0, ejectedAt = null)
}

/**
 * A drain that the agent itself announced.
 *
 * @property tickMillis time of the announcement on the agent's clock.
 * @property seenAt time of the last list that contained the incarnation, or of its last announcement.
 */
internal data class AnnouncedDrain(val tickMillis: Long, val seenAt: Timestamp)
