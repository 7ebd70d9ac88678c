/**
 * What a rank says of its group and of its expert map.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp

/** Version of an expert map. Every rank of a group uses the same version in every pass. */
@JvmInline
public value class MapVersion(public val value: Long) : Comparable<MapVersion> {
    override fun compareTo(other: MapVersion): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** A map that a rank will switch to as pass [step] begins. */
public data class ArmedMap(val version: MapVersion, val step: Long)

/**
 * @property epoch of the group; it changes whenever the group forms anew.
 * @property step the last pass that was begun.
 * @property prepared the map that is loaded and not in use.
 * @property heldAt the pass that does not begin before it is released.
 * @property slowdown time of its own work relative to a sound rank.
 * @property running requests that the rank is working on.
 * @property observedAt when the observation arrived at the coordinator.
 */
public data class RankObservation(
    val rank: Int,
    val size: Int,
    val epoch: Long,
    val open: Boolean,
    val step: Long,
    val map: MapVersion,
    val prepared: MapVersion?,
    val armed: ArmedMap?,
    val heldAt: Long?,
    val slowdown: Double,
    val running: Int,
    val observedAt: Timestamp,
)
