/**
 * Decides which registered replicas may be used.
 *
 * The registry forgets replicas that could not renew their entries while it was away. Those entries return shortly
 * after it does, so an entry that vanishes around an outage is kept until [reregistrationGrace] after the outage; in
 * quiet times a vanished entry is taken as gone at once. A replica that was seen draining stays unusable for the rest of
 * its incarnation. Mutable; owned by the control thread.
 */
package org.jujubelead.core.replica

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param reregistrationGrace time after an outage within which live replicas have registered again. */
public class ReplicaDirectory(private val reregistrationGrace: Duration = DEFAULT_REREGISTRATION_GRACE) {
    private val usable = LinkedHashMap<ReplicaId, Replica>()
    private val drained = HashSet<Pair<ReplicaId, Long>>()
    private var retainVanishedUntil: Timestamp? = null
    private var lastSentAt: Timestamp? = null
    private var lastRevision = Long.MIN_VALUE

    /** Replicas that may get new work. */
    public val replicas: List<Replica> get() = usable.values.toList()

    /** Notes that the registry could not be read. */
    public fun recordReadFailure(now: Timestamp) {
        retainVanishedUntil = now + reregistrationGrace
    }

    /**
     * Takes in a complete list that was asked for at [sentAt] and holds for [revision]. A list that is older than
     * one already taken in is ignored. Returns true when the usable replicas changed.
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
        /** The platform's pages promise the return of live entries within about two seconds; half a second is slack. */
        public val DEFAULT_REREGISTRATION_GRACE: Duration = 2.5.seconds
    }
}
