/** Retention times and memory limits of an [ExecutionLedger]. */
package org.jujubelead.core.execution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * @property maxTickAge attempts with an older tick are refused.
 * @property tombstoneRetention how long a tombstone is kept. It exceeds [maxTickAge], so that a delayed attempt is
 *   refused because of its tick after its tombstone is dropped.
 * @property minFinishedRetention a finished record and its answer are never dropped earlier, regardless of the load.
 * @property maxFinishedRetention a finished record is dropped after this time.
 * @property maxRecords maximum number of attempts that are admitted, running or finished.
 * @property maxTombstones maximum number of tombstones. When it is reached, attempts with a tick up to the current time
 *   are refused instead.
 * @property maxAnswerBytes maximum size of all stored answers together.
 * @property maxBytesPerAnswer maximum size of a stored answer. The record of a larger answer is kept without it.
 */
public data class LedgerLimits(
    val maxTickAge: Duration = 10.seconds,
    val tombstoneRetention: Duration = 60.seconds,
    val minFinishedRetention: Duration = 60.seconds,
    val maxFinishedRetention: Duration = 30.minutes,
    val maxRecords: Int = 20_000,
    val maxTombstones: Int = 10_000,
    val maxAnswerBytes: Long = 8_000_000,
    val maxBytesPerAnswer: Long = 1_000_000,
) {
    init {
        require(tombstoneRetention > maxTickAge) { "tombstoneRetention must be longer than maxTickAge" }
        require(minFinishedRetention > maxTickAge) { "minFinishedRetention must be longer than maxTickAge" }
        require(maxFinishedRetention >= minFinishedRetention) {
            "maxFinishedRetention must not be shorter than minFinishedRetention"
        }
        require(maxRecords > 0 && maxTombstones > 0) { "maxRecords and maxTombstones must be positive" }
        require(maxBytesPerAnswer <= maxAnswerBytes) { "maxBytesPerAnswer must not exceed maxAnswerBytes" }
    }
}
