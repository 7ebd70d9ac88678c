/** What an entry holds against one target. Targets without any have no evidence kept. */
package org.jujubelead.core.membership

import org.jujubelead.core.time.Timestamp

/**
 * Failures of one target.
 *
 * @property failures failures in a row.
 * @property ejections how often the target was ejected; lengthens the next ejection.
 * @property ejectedAt start of the current ejection; null when the target is trusted.
 * @property cause the failure that ejected.
 * @property lastFailure when it failed last.
 */
internal data class Evidence(
    val failures: Int = 0,
    val ejections: Int = 0,
    val ejectedAt: Timestamp? = null,
    val cause: FailureKind = FailureKind.ERROR,
    val lastFailure: Timestamp = Timestamp.ZERO,
) {
    val suspect: Boolean get() = ejectedAt != null

    fun ejected(kind: FailureKind, now: Timestamp): Evidence = copy(
        failures = failures + 1,
        ejections = ejections + 1,
        ejectedAt = ejectedAt ?: now,
        cause = kind,
        lastFailure = now,
    )

    fun failed(now: Timestamp): Evidence = copy(failures = failures + 1, lastFailure = now)

    fun trusted(): Evidence = copy(failures = 0, ejectedAt = null)
}

/**
 * A drain that the agent itself announced.
 *
 * @property tickMillis the agent's clock when it said so.
 * @property seenAt when the incarnation was last in the list or last said so.
 */
internal data class AnnouncedDrain(val tickMillis: Long, val seenAt: Timestamp)
