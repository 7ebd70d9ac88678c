/** Settings of the claim log. All instances of a deployment use the same [ClaimSettings.shards]. */
package org.jujubelead.claims

import org.jujubelead.core.claim.ShardLimits
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Settings of the claim log.
 *
 * @property candidates instances that may own a shard, in different zones where possible.
 * @property leaseTtl lifetime of the lease of a shard.
 * @property leaseMargin an owner stops this much before its lease can lapse, measured from the start of the call that
 *   extended it.
 * @property renewEvery time between renewals, and between tries of candidates that do not own the shard.
 * @property ringSize slots of a shard's log. Entries are compacted before their slot is used again.
 * @property compactEntries entries in a snapshot chunk at most.
 * @property compactBytes bytes in a snapshot chunk at most.
 * @property claimTimeout a claim is answered within this time.
 * @property readSpacing shortest time between two reads of a shard's take-over. With 12 shards at once it gives
 *   1,200 reads/s of the 2,000 that the service takes.
 * @property firstBackoff mean pause after a first failure of the service.
 * @property maxBackoff mean pause after many failures.
 */
public data class ClaimSettings(
    val shards: Int = 12,
    val candidates: Int = 3,
    val leaseTtl: Duration = 6.seconds,
    val leaseMargin: Duration = 1.seconds,
    val renewEvery: Duration = 2.seconds,
    val ringSize: Int = 256,
    val compactEntries: Int = 100,
    val compactBytes: Int = 900_000,
    val claimTimeout: Duration = 1.seconds,
    val readSpacing: Duration = 10.milliseconds,
    val firstBackoff: Duration = 200.milliseconds,
    val maxBackoff: Duration = 5.seconds,
    val limits: ShardLimits = ShardLimits(),
) {
    init {
        require(ringSize > compactEntries) { "ringSize must be above compactEntries" }
        require(leaseTtl > leaseMargin + renewEvery) { "leaseTtl must be longer than leaseMargin and renewEvery" }
    }
}

/** Clocks of the process. */
public interface ClaimClock {
    /** The monotonic clock. */
    public fun now(): Timestamp

    /** The wall clock, used only for the expiry of keys. */
    public fun wall(): Instant
}
