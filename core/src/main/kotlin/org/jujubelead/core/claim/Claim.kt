/** A claimed idempotency key and the request to claim one. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The one attempt that may run a request, and the only process it may run at.
 *
 * @property target instance of the agent.
 * @property incarnation incarnation of that agent.
 * @property tick latest tick of that agent known *before* the claim was asked for, on the agent's clock, in whole
 *   milliseconds. Dispatch and cancel carry it.
 * @throws IllegalArgumentException when an id is longer than [MAX_ID_LENGTH] or has other characters than printable
 *   ASCII. This bounds the size of log entries.
 */
public data class ClaimedAttempt(
    val attempt: AttemptId,
    val target: InstanceId,
    val incarnation: Incarnation,
    val tick: Timestamp,
) {
    init {
        for (id in listOf(attempt.value, target.value, incarnation.value)) {
            require(id.length <= MAX_ID_LENGTH) { "an id has ${id.length} characters; $MAX_ID_LENGTH are allowed" }
            require(id.all { it in '!'..'~' }) { "an id has other characters than printable ASCII" }
        }
    }

    public companion object {
        /** Longest id in a claim, in characters. */
        public const val MAX_ID_LENGTH: Int = 64
    }
}

/**
 * A durable claim.
 *
 * @property expiresAt the key is forgotten after this time.
 */
public data class Claim(
    val key: ClaimKey,
    val requestHash: RequestHash,
    val holder: ClaimedAttempt,
    val expiresAt: Instant,
)

/**
 * Asks for a key.
 *
 * @property replaces the attempt that holds the key and was confirmed as not run by its agent.
 * @property retention how long the key is kept.
 */
public data class ClaimRequest(
    val key: ClaimKey,
    val requestHash: RequestHash,
    val claimant: ClaimedAttempt,
    val replaces: AttemptId? = null,
    val retention: Duration,
)
