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
 * @property candidateCount number of instances that may own a shard, in different zones where possible.
 * @property leaseTtl lifetime of the lease of a shard.
 * @property leaseMargin safety margin by which an owner stops before its lease can expire. The lease is timed from the
 *   start of the call that extended it.
 * @property renewInterval mean time between renewals of the lease, and between attempts of other candidates to
 *   acquire it.
 * @property ringSize number of slots of a shard's log. An entry is compacted into a chunk before its slot is reused.
 * @property maxChunkEntries maximum number of log entries in a chunk.
 * @property maxChunkBytes maximum size of a chunk in bytes. A single larger entry is compacted alone.
 * @property claimTimeout maximum time until a claim is answered.
 * @property minReadInterval minimum time between two reads during the take-over of a shard. With concurrent take-overs
 *   of 12 shards this gives 1,200 reads/s; the service allows 2,000.
 * @property initialBackoff mean delay after the first failure of the key-value service.
 * @property maxBackoff upper bound of the mean delay after consecutive failures.
 */
public data class ClaimSettings(
    val shards: Int = 12,
    val candidateCount: Int = 3,
    val leaseTtl: Duration = 6.seconds,
    val leaseMargin: Duration = 1.seconds,
    val renewInterval: Duration = 2.seconds,
    val ringSize: Int = 256,
    val maxChunkEntries: Int = 100,
    val maxChunkBytes: Int = 900_000,
    val claimTimeout: Duration = 1.seconds,
    val minReadInterval: Duration = 10.milliseconds,
    val initialBackoff: Duration = 200.milliseconds,
    val maxBackoff: Duration = 5.seconds,
    val limits: ShardLimits = ShardLimits(),
) {
    init {
        require(ringSize > maxChunkEntries) { "ringSize must be greater than maxChunkEntries" }
        require(leaseTtl > leaseMargin + renewInterval) {
            "leaseTtl must be longer than leaseMargin plus renewInterval"
        }
    }
}

/** The monotonic and the wall clock of the process. */
public interface ClaimClock {
    /** Returns the time of the monotonic clock. */
    public fun now(): Timestamp

    /** Returns the time of the wall clock, which is used only for the expiry of keys. */
    public fun wall(): Instant
}
