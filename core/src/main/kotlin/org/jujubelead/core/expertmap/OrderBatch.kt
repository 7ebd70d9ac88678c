/**
 * Splits the members of a group into batches for an order that is the same for all of them.
 *
 * A map is large, and the link of a coordinator is small: sending it to each rank of a large group takes longer than
 * the map stays useful. In each batch one agent relays the order to the others, so that the coordinator and each relay
 * send about the square root of the number of ranks. Relaying is as safe as sending: an order can be late on either
 * way, every agent checks the coordinator's term by itself, and a replica refuses a map that is not newer than all it
 * has seen and a pass that has begun.
 */
package org.jujubelead.core.expertmap

import kotlin.math.ceil
import kotlin.math.sqrt

/** An order to [first], which relays it to [relayedTo]. */
public data class OrderBatch<T>(val first: T, val relayedTo: List<T>)

/** Returns batches that contain each of [members] once. */
public fun <T> batchesOf(members: List<T>): List<OrderBatch<T>> {
    if (members.size <= MAX_UNRELAYED) return members.map { OrderBatch(it, emptyList()) }
    val batches = ceil(sqrt(members.size.toDouble())).toInt()
    return members.withIndex().groupBy({ it.index % batches }, { it.value }).values
        .map { OrderBatch(it.first(), it.drop(1)) }
}

/** Up to this number of members, a relay would delay an order by more than it saves. */
private const val MAX_UNRELAYED = 16
