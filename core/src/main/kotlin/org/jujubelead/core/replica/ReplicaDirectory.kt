/**
 * Decides which registered replicas may be used.
 *
 * The registry drops replicas that could not renew their entries during an outage of the registry. They register again
 * shortly after the outage, so an entry that disappears around an outage is kept until [reregistrationGrace] after it.
 * At other times a replica whose entry disappears is removed immediately. A replica that was reported as draining stays
 * unusable for the rest of its incarnation. Not thread-safe; used on the control thread only.
 */
package org.jujubelead.core.replica

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param reregistrationGrace time after an outage within which live replicas register again. */
public class ReplicaDirectory(private val reregistrationGrace: Duration = DEFAULT_REREGISTRATION_GRACE) {
    private val usable = LinkedHashMap<ReplicaId, Replica>()
    private val drained = HashSet<Pair<ReplicaId, Long>>()
    private var retainVanishedUntil: Timestamp? = null
    private var lastSentAt: Timestamp? = null
    private var lastRevision = Long.MIN_VALUE

    /** Replicas that may receive new requests. */
    public val replicas: List<Replica> get() = usable.values.toList()

    /** Records that the registry could not be read. */
    public fun recordReadFailure(now: Timestamp) {
        retainVanishedUntil = now + reregistrationGrace
    }

    /**
     * Applies a complete list that was requested at [sentAt] and is valid for [revision]. A list that is older than one
     * already applied is ignored. Returns true if the usable replicas changed.
     */
    public fun applyListing(list: List<Replica>, revision: Long, sentAt: Timestamp): Boolean {
        val last = lastSentAt
        if ((last != null && sentAt < last) || revision < lastRevision) return false
        lastSentAt = sentAt
        lastRevision = revision
        val before = usable.values.toList()
        val ids = list.mapTo(HashSet()) { it.id }
        if (retainVanishedUntil?.let { sentAt > it } != false) usable.keys.retainAll(ids)
        for (r in list) {
            val incarnation = r.id to r.startedAtMillis
            if (r.draining) drained += incarnation
            if (incarnation in drained) usable.remove(r.id) else usable[r.id] = r
        }
        return before != usable.values.toList()
    }

    public companion object {
        /** The platform documentation promises re-registration within about two seconds; 0.5 s is added as a margin. */
        public val DEFAULT_REREGISTRATION_GRACE: Duration = 2.5.seconds
    }
}
