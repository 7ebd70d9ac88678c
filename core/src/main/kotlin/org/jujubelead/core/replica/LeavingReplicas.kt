/**
 * Replicas that have said that they leave, and get no new requests.
 *
 * A replica that leaves does not come back under the same incarnation. Its mark is therefore kept, also while the
 * registry does not list the replica or lists it as sound. Not thread-safe; used on the traffic thread only.
 */
package org.jujubelead.core.replica

public class LeavingReplicas {
    private val marked = HashSet<Incarnation>()

    /** Marks [replica]. Returns false if it is marked already. */
    public fun add(replica: Incarnation): Boolean = marked.add(replica)

    public operator fun contains(replica: Replica): Boolean = marked.isNotEmpty() && replica.incarnation in marked
}
