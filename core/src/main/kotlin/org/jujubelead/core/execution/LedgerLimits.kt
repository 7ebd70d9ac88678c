/** Bounds of an [ExecutionLedger] in time and memory. */
package org.jujubelead.core.execution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the ledger.
 *
 * @property maxTickAge an attempt whose tick is older is refused.
 * @property tombstoneRetention how long a tombstone is kept; longer than [maxTickAge], so that a delayed attempt is refused
 *   by its tick once the tombstone is gone.
 * @property minFinishedRetention a finished record and its answer are never dropped earlier, whatever the load.
 * @property maxFinishedRetention a finished record is dropped after this time.
 * @property maxRecords attempts admitted, running or finished.
 * @property maxTombstones at this number, ticks up to the present are refused in place of one more tombstone.
 * @property maxAnswerBytes bytes of finished answers in all.
 * @property maxBytesPerAnswer a larger answer is not kept; its record is.
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
        require(maxFinishedRetention >= minFinishedRetention) { "maxFinishedRetention is below minFinishedRetention" }
        require(maxRecords > 0 && maxTombstones > 0) { "maxRecords and maxTombstones must be positive" }
        require(maxBytesPerAnswer <= maxAnswerBytes) { "maxBytesPerAnswer is above maxAnswerBytes" }
    }
}
