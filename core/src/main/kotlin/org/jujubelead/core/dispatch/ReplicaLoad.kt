/** Load and condition of one replica as seen by one instance. */
package org.jujubelead.core.dispatch

import org.jujubelead.core.replica.Replica
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How an attempt on a replica ended, with respect to the replica's condition. */
public enum class AttemptOutcome {
    /** The answer was complete. */
    ANSWERED,

    /** The replica had no free capacity. */
    FULL,

    /** The address now belongs to another replica. */
    MISPLACED,

    /** The replica failed, closed the connection early, or sent an invalid answer. */
    FAILED,

    /** The caller disconnected, or the attempt was ended for another reason unrelated to the replica. */
    ABANDONED,
}

/** Load and condition of [replica]. Not thread-safe; used on the traffic thread only. */
public class ReplicaLoad internal constructor(replica: Replica) {
    public var replica: Replica = replica
        internal set

    /** In-flight requests of this instance on the replica. */
    public var inFlight: Int = 0
        internal set

    /** In-flight requests of other instances on the replica, according to their last reports. */
    public var inFlightElsewhere: Int = 0
        internal set

    /** Last reported processing time of the replica relative to normal speed; 1 if nothing is reported. */
    public var slowdown: Double = NORMAL_SLOWDOWN
        internal set

    /** True for a rank that is slow enough to prolong the passes of its whole group with each request it processes. */
    internal val slow: Boolean get() = slowdown >= SLOW_THRESHOLD

    private var failures = 0
    private var avoidedUntil: Timestamp? = null

    internal fun isAvoided(now: Timestamp): Boolean = avoidedUntil?.let { now < it } ?: false

    internal fun attemptEnded(outcome: AttemptOutcome, now: Timestamp) {
        inFlight = (inFlight - 1).coerceAtLeast(0)
        when (outcome) {
            AttemptOutcome.ANSWERED -> failures = 0

            AttemptOutcome.FULL -> avoidedUntil = now + FULL_BACKOFF

            AttemptOutcome.MISPLACED -> avoidedUntil = now + MISPLACED_BACKOFF

            AttemptOutcome.FAILED -> {
                failures++
                if (failures >=
                    FAILURE_THRESHOLD
                ) {
                    avoidedUntil = now + FAILURE_BACKOFF * failures.coerceAtMost(MAX_BACKOFF_MULTIPLIER)
                }
            }

            AttemptOutcome.ABANDONED -> Unit
        }
    }

    private companion object {
        const val NORMAL_SLOWDOWN = 1.0

        /** Healthy ranks differ by a few percent; above this, other ranks process the requests at lower cost. */
        const val SLOW_THRESHOLD = 1.25

        /** A few passes of an engine, within which a slot becomes free. */
        val FULL_BACKOFF: Duration = 100.milliseconds

        /** Longer than it takes the registry to publish the new address. */
        val MISPLACED_BACKOFF: Duration = 3_000.milliseconds

        /** About the shortest replica outage worth avoiding. Multiplied by the number of consecutive failures. */
        val FAILURE_BACKOFF: Duration = 700.milliseconds
        const val MAX_BACKOFF_MULTIPLIER = 4

        /** A single failure is not significant: healthy replicas have corrupted and lost answers too. */
        const val FAILURE_THRESHOLD = 2
    }
}
