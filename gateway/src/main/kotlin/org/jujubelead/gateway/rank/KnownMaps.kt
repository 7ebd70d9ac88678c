/**
 * The maps that an agent was sent last, from which it completes orders that name only the changes.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.GroupMap

internal class KnownMaps {
    private val maps = object : LinkedHashMap<Pair<Long, Long>, GroupMap>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Pair<Long, Long>, GroupMap>?) = size > MOST_MAPS
    }

    /** The map of [order]; null when its base is not known. Throws [IllegalArgumentException] on nonsense. */
    fun complete(order: PrepareOrder): GroupMap? {
        val map = order.map?.let(::decodeMap) ?: changed(order) ?: return null
        maps[order.epoch to order.version] = map
        return map
    }

    private fun changed(order: PrepareOrder): GroupMap? {
        val base = maps[order.epoch to (order.base ?: return null)] ?: return null
        return applyChanges(base, order.changes ?: return null)
    }

    private companion object {
        /** The map in use, one that is being prepared, and some that were dropped before the switch. */
        const val MOST_MAPS = 6
    }
}
