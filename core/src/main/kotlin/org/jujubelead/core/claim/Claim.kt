/** Claims of idempotency keys. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The only attempt that may run a request, and the only process that may run it.
 *
 * @property target instance of the agent.
 * @property incarnation incarnation of that agent.
 * @property tick latest time of that agent's clock that was known *before* the claim was requested, in whole
 *   milliseconds. Dispatch and cancel messages carry it.
 * @throws IllegalArgumentException when an id is longer than [MAX_ID_LENGTH] or contains characters other than
 *   printable ASCII. This bounds the size of log entries.
 */
public data class ClaimedAttempt(
    val attempt: AttemptId,
    val target: InstanceId,
    val incarnation: Incarnation,
    val tick: Timestamp,
) {
    init {
        for (id in listOf(attempt.value, target.value, incarnation.value)) {
            require(id.length <= MAX_ID_LENGTH) {
                "an id has ${id.length} characters; at most $MAX_ID_LENGTH are allowed"
            }
            require(id.all { it in '!'..'~' }) { "id contains characters other than printable ASCII" }
        }
    }

    public companion object {
        /** Maximum length of an id in a claim, in characters. */
        public const val MAX_ID_LENGTH: Int = 64
    }
}

/**
 * A durable claim.
 *
 * @property expiresAt wall-clock time after which the key may be claimed again.
 */
public data class Claim(
    val key: ClaimKey,
    val requestHash: RequestHash,
    val holder: ClaimedAttempt,
    val expiresAt: Instant,
)

/**
 * A request to claim a key.
 *
 * @property replaces the attempt that holds the key, when its agent has confirmed that it did not and will not run.
 * @property retention how long the claim is kept.
 */
public data class ClaimRequest(
    val key: ClaimKey,
    val requestHash: RequestHash,
    val claimant: ClaimedAttempt,
    val replaces: AttemptId? = null,
    val retention: Duration,
)
