/**
 * The maps that an agent was sent last, from which it completes orders that name only the changes.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.GroupMap

internal class MapCache {
    private val maps = object : LinkedHashMap<Pair<Long, Long>, GroupMap>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Pair<Long, Long>, GroupMap>?) = size > MAX_MAPS
    }

    /** The map of [order]; null when its base is not known. Throws [IllegalArgumentException] on nonsense. */
    fun resolve(order: PrepareOrder): GroupMap? {
        val map = order.map?.let(::decodeMap) ?: applyToBase(order) ?: return null
        maps[order.epoch to order.version] = map
        return map
    }

    private fun applyToBase(order: PrepareOrder): GroupMap? {
        val base = maps[order.epoch to (order.base ?: return null)] ?: return null
        return applyChanges(base, order.changes ?: return null)
    }

    private companion object {
        /** The map in use, one that is being prepared, and some that were dropped before the switch. */
        const val MAX_MAPS = 6
    }
}
