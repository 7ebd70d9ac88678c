/**
 * Orders to a rank about its expert map.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.placement.ExpertPlacement

/** Where the experts of each set of layers are. */
public typealias GroupMap = List<ExpertPlacement>

/** A map and its version. */
public class VersionedMap(public val version: MapVersion, public val map: GroupMap)

/** One order. An order that is not answered can be carried out later. */
public sealed interface MapOrder {
    /** Loads the experts of [map] that the rank does not hold. [base] is the map in use, when it is known. */
    public data class Prepare(val version: MapVersion, val map: GroupMap, val base: VersionedMap? = null) : MapOrder {
        override fun toString(): String = "Prepare($version)"
    }

    /** Switches to a prepared map as pass [step] begins. */
    public data class Arm(val version: MapVersion, val step: Long) : MapOrder

    /** Keeps the group from beginning pass [step]. */
    public data class Hold(val step: Long) : MapOrder

    /** Takes back a [Hold]. */
    public data class Release(val step: Long) : MapOrder
}
