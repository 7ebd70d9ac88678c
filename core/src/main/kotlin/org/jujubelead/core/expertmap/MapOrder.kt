/**
 * Orders to a rank about its expert map.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.placement.ExpertPlacement

/** Placement of the experts, one for each set of layers. */
public typealias GroupMap = List<ExpertPlacement>

/** The map of a new group, which assigns the experts round-robin. */
public fun initialMap(sets: Int, experts: Int, ranks: Int): GroupMap = List(sets) {
    ExpertPlacement(List(ranks) { r -> (r until experts step ranks).toList() })
}

/** A map and its version. */
public class VersionedMap(public val version: MapVersion, public val map: GroupMap)

/** An order to a rank. An order that got no answer can still take effect later. */
public sealed interface MapOrder {
    /** Load the experts of [map] that the rank does not have. [base] is the map in use, if it is known. */
    public data class Prepare(val version: MapVersion, val map: GroupMap, val base: VersionedMap? = null) : MapOrder {
        override fun toString(): String = "Prepare($version)"
    }

    /** Switch to the prepared map at the start of pass [step]. */
    public data class Arm(val version: MapVersion, val step: Long) : MapOrder

    /** Prevent the group from starting pass [step]. */
    public data class Hold(val step: Long) : MapOrder

    /** Release a [Hold]. */
    public data class Release(val step: Long) : MapOrder
}
