/**
 * Decides which registered replicas may be used.
 *
 * The registry drops replicas that could not renew their entries during an outage of the registry. They register again
 * shortly after the outage, so an entry that disappears around an outage is kept until [reregistrationGrace] after it.
 * At other times a replica whose entry disappears is removed immediately. A replica that was reported as draining stays
 * unusable for the rest of its incarnation. The same holds around a return of the registry from a copy. The copy also
 * has the entries of replicas that have left since; those that are known to have left are not used until the registry
 * has had time to drop their entries again. Not thread-safe; used on the control thread only.
 */
package org.jujubelead.core.replica

import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * @param reregistrationGrace time after an outage within which live replicas register again.
 * @param expiryTime time within which the registry drops the entry of a replica that is gone.
 */
public class ReplicaDirectory(
    private val reregistrationGrace: Duration = DEFAULT_REREGISTRATION_GRACE,
    private val expiryTime: Duration = DEFAULT_EXPIRY_TIME,
) {
    private val usable = LinkedHashMap<ReplicaId, Replica>()
    private val drained = HashSet<Incarnation>()

    /** Replicas that have left, with the era in which their entry was missing. */
    private val departed = HashMap<Incarnation, StoreEra>()

    /** Until then the entries of replicas that left in an earlier era are not used. */
    private var ignoreDepartedUntil = Timestamp.ZERO
    private var retainVanishedUntil: Timestamp? = null
    private var lastSentAt: Timestamp? = null
    private var lastRevision: StoreRevision? = null

    /** Replicas that may receive new requests. */
    public val replicas: List<Replica> get() = usable.values.toList()

    /** Records that the registry could not be read. */
    public fun recordReadFailure(now: Timestamp) {
        retainVanishedUntil = now + reregistrationGrace
    }

    /**
     * Applies a complete list that was requested at [sentAt], received at [receivedAt], and is valid for [revision]. A
     * list that is older than one already applied is ignored. Returns true if the usable replicas changed.
     */
    public fun applyListing(
        list: List<Replica>,
        revision: StoreRevision,
        sentAt: Timestamp,
        receivedAt: Timestamp = sentAt,
    ): Boolean {
        val last = lastRevision
        if (lastSentAt?.let { sentAt < it } == true || (last != null && revision < last)) return false
        if (last != null && revision.era > last.era) {
            recordReadFailure(receivedAt)
            ignoreDepartedUntil = receivedAt + expiryTime
        }
        lastSentAt = sentAt
        lastRevision = revision
        val before = usable.values.toList()
        if (retainVanishedUntil?.let { sentAt > it } != false) removeMissing(list, revision.era)
        for (r in list) {
            if (r.draining) drained += r.incarnation
            if (isUsable(r.incarnation, revision.era, sentAt)) usable[r.id] = r else usable.remove(r.id)
        }
        return before != usable.values.toList()
    }

    private fun removeMissing(list: List<Replica>, era: StoreEra) {
        val listed = list.mapTo(HashSet()) { it.incarnation }
        usable.values.filter { it.incarnation !in listed }.forEach { departed[it.incarnation] = era }
        departed.replaceAll { incarnation, departedIn -> if (incarnation in listed) departedIn else era }
        val ids = list.mapTo(HashSet()) { it.id }
        usable.keys.retainAll(ids)
    }

    private fun isUsable(incarnation: Incarnation, era: StoreEra, sentAt: Timestamp): Boolean {
        if (incarnation in drained) return false
        val departedIn = departed[incarnation] ?: return true
        if (departedIn < era && sentAt < ignoreDepartedUntil) return false
        departed.remove(incarnation)
        return true
    }

    public companion object {
        /** The platform documentation promises re-registration within about two seconds; 0.5 s is added as a margin. */
        public val DEFAULT_REREGISTRATION_GRACE: Duration = 2.5.seconds

        /** Three check-ins of replicas, of 1.2 s on the users' deployments, and a margin. */
        public val DEFAULT_EXPIRY_TIME: Duration = 4.5.seconds
    }
}
