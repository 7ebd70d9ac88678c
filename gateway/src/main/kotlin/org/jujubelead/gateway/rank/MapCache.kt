/** Caches the maps that an agent received last, so that orders need to contain only the changes. */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.GroupMap

internal class MapCache {
    private val maps = object : LinkedHashMap<Pair<Long, Long>, GroupMap>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Pair<Long, Long>, GroupMap>?) = size > MAX_MAPS
    }

    /**
     * Returns the map of [order]; null if its base is not cached. Throws [IllegalArgumentException] if its text is
     * malformed.
     */
    fun resolve(order: PrepareOrder): GroupMap? {
        val map = order.map?.let(::decodeMap) ?: applyToBase(order) ?: return null
        maps[order.epoch to order.version] = map
        return map
    }

    private fun applyToBase(order: PrepareOrder): GroupMap? {
        val base = maps[order.epoch to (order.base ?: return null)] ?: order.initial?.construct() ?: return null
        return applyChanges(base, order.changes ?: return null)
    }

    private companion object {
        /** The current map, one in preparation, and a few that were abandoned before their switch. */
        const val MAX_MAPS = 6
    }
}
