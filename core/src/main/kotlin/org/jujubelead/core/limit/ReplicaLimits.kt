/**
 * Limits on the requests per second that replicas accept from all instances together.
 *
 * A replica in need names its limit in each of its responses until it is well again. Responses on different connections
 * overtake each other: a response without a limit counts only if its request was sent after the response that named the
 * limit had arrived. Observations of several instances are combined by taking the latest one. Not thread-safe; used on
 * the traffic thread only.
 */
package org.jujubelead.core.limit

import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * @property requestsPerSecond limit of the replica; null if it has none.
 * @property at when the limit was known to be in force, or to be lifted.
 */
public data class LimitObservation(val requestsPerSecond: Double?, val at: Timestamp)

public class ReplicaLimits {
    private val latest = HashMap<Incarnation, LimitObservation>()

    /** What other instances should know: limits, and for a while that they were lifted. */
    public val observations: Map<Incarnation, LimitObservation> get() = latest

    public fun limitOf(replica: Incarnation): Double? = latest[replica]?.requestsPerSecond

    /**
     * Records a response of [replica] to a request that was sent at [sentAt]. [limit] is the limit it names, or null.
     * Returns true if the limit in force has changed.
     */
    public fun responded(replica: Incarnation, limit: Double?, sentAt: Timestamp, now: Timestamp): Boolean =
        when {
            limit != null -> observe(replica, LimitObservation(limit, now))
            limitOf(replica) != null -> observe(replica, LimitObservation(null, sentAt))
            else -> false
        }

    /** Adds an observation, which may be another instance's. Returns true if the limit in force has changed. */
    public fun observe(replica: Incarnation, observation: LimitObservation): Boolean {
        val known = latest[replica]
        if (known != null && observation.at <= known.at) return false
        latest[replica] = observation
        return known?.requestsPerSecond != observation.requestsPerSecond
    }

    /** Forgets replicas that are not in [current], and limits that were lifted long ago. */
    public fun expire(current: Set<Incarnation>, now: Timestamp) {
        latest.entries.removeIf { (replica, observation) ->
            replica !in current || (observation.requestsPerSecond == null && now - observation.at > LIFTED_MEMORY)
        }
    }

    private companion object {
        /** Longer than reports of the former limit are under way. */
        val LIFTED_MEMORY: Duration = 10.seconds
    }
}
