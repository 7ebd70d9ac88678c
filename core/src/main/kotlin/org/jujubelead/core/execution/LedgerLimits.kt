/** Bounds of an [ExecutionLedger] in time and memory. */
package org.jujubelead.core.execution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the ledger.
 *
 * @property maxTickAge an attempt whose tick is older is refused.
 * @property tombstoneKept how long a tombstone is kept; longer than [maxTickAge], so that a delayed attempt is refused
 *   by its tick once the tombstone is gone.
 * @property finishedKeptAtLeast a finished record and its answer are never dropped earlier, whatever the load.
 * @property finishedKeptAtMost a finished record is dropped after this time.
 * @property maxRecords attempts admitted, running or finished.
 * @property maxTombstones at this number, ticks up to the present are refused in place of one more tombstone.
 * @property maxAnswerBytes bytes of finished answers in all.
 * @property maxOneAnswerBytes a larger answer is not kept; its record is.
 */
public data class LedgerLimits(
    val maxTickAge: Duration = 10.seconds,
    val tombstoneKept: Duration = 60.seconds,
    val finishedKeptAtLeast: Duration = 60.seconds,
    val finishedKeptAtMost: Duration = 30.minutes,
    val maxRecords: Int = 20_000,
    val maxTombstones: Int = 10_000,
    val maxAnswerBytes: Long = 8_000_000,
    val maxOneAnswerBytes: Long = 1_000_000,
) {
    init {
        require(tombstoneKept > maxTickAge) { "tombstoneKept must be longer than maxTickAge" }
        require(finishedKeptAtLeast > maxTickAge) { "finishedKeptAtLeast must be longer than maxTickAge" }
        require(finishedKeptAtMost >= finishedKeptAtLeast) { "finishedKeptAtMost is below finishedKeptAtLeast" }
        require(maxRecords > 0 && maxTombstones > 0) { "maxRecords and maxTombstones must be positive" }
        require(maxOneAnswerBytes <= maxAnswerBytes) { "maxOneAnswerBytes is above maxAnswerBytes" }
    }
}
