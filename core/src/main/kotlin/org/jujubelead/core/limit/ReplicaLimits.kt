/**
 * Keeps the requests that this instance sends to replicas within the limits that the replicas name.
 *
 * A replica in need names in each of its responses how many requests per second it accepts from all instances together,
 * until it is well again. An instance uses its share of that limit ([limitShare]). Responses on different connections
 * overtake each other: a response without a limit counts only if its request was sent after the response that named the
 * limit had arrived.
 *
 * An instance without a share gets no more responses. What it has heard expires, and it relies on the reports of the
 * others, which are kept for a while when their sender falls silent. An instance with a share keeps what it has heard
 * until a response says otherwise. Not thread-safe; used on the traffic thread only.
 */
package org.jujubelead.core.limit

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param own address under which other instances know this one. */
public class ReplicaLimits(private val own: Endpoint) {
    private class Heard(val perSecond: Double, val at: Timestamp)

    private class Report(val limits: Map<Int, Double>, val expiresAt: Timestamp)

    private val heard = HashMap<Incarnation, Heard>()
    private val reports = HashMap<Long, Report>()
    private val nextRequestAt = HashMap<Incarnation, Timestamp>()

    /** All instances with their zones, including this one; empty if they are not known yet. */
    public var instances: Map<Endpoint, ZoneId> = emptyMap()

    /** True if no replica is known to name a limit. */
    public val isEmpty: Boolean get() = heard.isEmpty() && reports.isEmpty()

    /** Requests per second that [replica] accepts from all instances; null if it has named no limit. */
    public fun limitOf(replica: Replica, now: Timestamp): Double? {
        if (isEmpty) return null
        val known = heard[replica.incarnation]?.takeIf { now - it.at < HEARD_LIFETIME || share(replica) > 0 }
        val hash = reportHash(replica.incarnation)
        return known?.perSecond
            ?: reports.values.filter { now < it.expiresAt }.mapNotNull { it.limits[hash] }.minOrNull()
    }

    /** True if this instance may send a request to [replica] now. */
    public fun allows(replica: Replica, now: Timestamp): Boolean {
        if (limitOf(replica, now) == null) return true
        return share(replica) > 0 && nextRequestAt[replica.incarnation]?.let { now >= it } ?: true
    }

    /** Records that this instance sends a request to [replica]. */
    public fun requestSent(replica: Replica, now: Timestamp) {
        val rate = (limitOf(replica, now) ?: return) * share(replica)
        val interval = if (rate > 0) (1.seconds / rate).coerceAtMost(MAX_INTERVAL) else MAX_INTERVAL
        nextRequestAt[replica.incarnation] = now + interval
    }

    /**
     * Records a response of [replica] to a request that was sent at [sentAt]. [limit] is the limit it names, or null.
     * Returns true if the limit that this instance has heard has changed.
     */
    public fun responded(replica: Incarnation, limit: Double?, sentAt: Timestamp, now: Timestamp): Boolean {
        val before = heard[replica]
        if (limit != null) {
            heard[replica] = Heard(limit, now)
        } else if (before == null || sentAt <= before.at) {
            return false
        } else {
            heard.remove(replica)
        }
        return before?.perSecond != limit
    }

    /** Limits to report to the other instances, by [reportHash]. */
    public fun reportedLimits(replicas: Collection<Replica>, now: Timestamp): Map<Int, Double> {
        if (heard.isEmpty()) return emptyMap()
        return replicas.mapNotNull { r ->
            heard[r.incarnation]?.takeIf { now - it.at < HEARD_LIFETIME || share(r) > 0 }
                ?.let { reportHash(r.incarnation) to it.perSecond }
        }.toMap()
    }

    /** Replaces what [sender] has reported before. */
    public fun reported(sender: Long, limits: Map<Int, Double>, now: Timestamp) {
        if (limits.isEmpty()) reports.remove(sender) else reports[sender] = Report(limits, now + REPORT_LIFETIME)
    }

    /** Forgets replicas that are not in [current], and expired reports. */
    public fun expire(current: Collection<Replica>, now: Timestamp) {
        val incarnations = current.mapTo(HashSet()) { it.incarnation }
        heard.keys.retainAll(incarnations)
        nextRequestAt.keys.retainAll(incarnations)
        reports.values.removeIf { now >= it.expiresAt }
    }

    private fun share(replica: Replica) = limitShare(replica, own, instances)

    public companion object {
        /** Identifies a replica in reports; a collision only limits a replica that names no limit. */
        public fun reportHash(replica: Incarnation): Int = "${replica.replica} ${replica.startedAtMillis}".hashCode()

        /** An instance with a share sends the next request within this time, however low the limit is. */
        private val MAX_INTERVAL: Duration = 10.seconds
        private val HEARD_LIFETIME: Duration = 5.seconds

        /** Longer than it takes until another instance has the share of one that was lost. */
        private val REPORT_LIFETIME: Duration = 15.seconds
    }
}
