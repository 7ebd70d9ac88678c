/**
 * Divides the request limit of a replica among the instances that may send requests to it.
 *
 * The sum over all instances has to stay within the limit although they do not coordinate. A few instances near the
 * replica share its limit evenly, and the others send nothing to it. Each of them may send one request ahead of its
 * rate, so their number also bounds how many requests come at once.
 */
package org.jujubelead.core.limit

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.Replica

/**
 * Fraction of the limit of [replica] that the instance [own] may use. [instances] are all instances with their zones;
 * empty if they are not known yet.
 */
public fun limitShare(replica: Replica, own: Endpoint, instances: Map<Endpoint, ZoneId>): Double {
    if (instances.isEmpty()) return 1.0 / MAX_SHARERS
    val near = instances.filterValues { it == replica.zone }.keys.ifEmpty { instances.keys }
    val sharers = near.sortedBy { "$it ${replica.id}".hashCode() }.take(MAX_SHARERS)
    return if (own in sharers) 1.0 / sharers.size else 0.0
}

private const val MAX_SHARERS = 4
