/**
 * What one instance knows of the load and the condition of one replica.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.replica.Replica
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How an attempt on a replica ended, as far as it tells of the replica's condition. */
public enum class AttemptOutcome {
    /** A whole answer. */
    ANSWERED,

    /** The replica had no room. */
    FULL,

    /** The address belongs to another replica now. */
    MISPLACED,

    /** The replica failed, broke off, or sent something that is not its answer. */
    FAILED,

    /** The caller left, or the attempt was ended for another reason that is not the replica's. */
    ABANDONED,
}

/** Load and condition of [replica]. Mutable; owned by the traffic thread. */
public class ReplicaLoad internal constructor(replica: Replica) {
    public var replica: Replica = replica
        internal set

    /** Requests of this instance at the replica. */
    public var inFlight: Int = 0
        internal set

    /** Requests of other instances at the replica, by their last reports. */
    public var inFlightElsewhere: Int = 0
        internal set

    /** Time of the replica's work relative to a sound one, as last reported; 1 when nothing is reported. */
    public var slowdown: Double = NORMAL_SLOWDOWN
        internal set

    /** True for a rank that makes the passes of its whole group longer with each request it works on. */
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

        /** Ranks differ by some hundredths without being ill; from here on others carry its requests for less. */
        const val SLOW_THRESHOLD = 1.25

        /** Some passes of an engine: the time in which a place becomes free. */
        val FULL_BACKOFF: Duration = 100.milliseconds

        /** Longer than the registry takes to show the change of address. */
        val MISPLACED_BACKOFF: Duration = 3_000.milliseconds

        /** About the shortest outage of a replica worth avoiding; doubled and tripled while failures go on. */
        val FAILURE_BACKOFF: Duration = 700.milliseconds
        const val MAX_BACKOFF_MULTIPLIER = 4

        /** One failure alone says little: garbled and lost answers hit healthy replicas too. */
        const val FAILURE_THRESHOLD = 2
    }
}
