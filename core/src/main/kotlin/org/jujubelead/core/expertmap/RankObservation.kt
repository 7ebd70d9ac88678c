/**
 * State that a rank reports about its group and its expert map.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.time.Timestamp

/** Version of an expert map. Every rank of a group uses the same version in every pass. */
@JvmInline
public value class MapVersion(public val value: Long) : Comparable<MapVersion> {
    override fun compareTo(other: MapVersion): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** A map that a rank will switch to at the start of pass [step]. */
public data class ArmedMap(val version: MapVersion, val step: Long)

/**
 * @property rank number of the rank in its group; each group of a service has a rank with that number.
 * @property size number of ranks in the group.
 * @property epoch epoch of the group, which changes whenever the group re-forms.
 * @property step the last pass that was started.
 * @property prepared the map that is loaded but not in use.
 * @property heldAt the pass that does not start until the hold is released; null without a hold.
 * @property slowdown processing time of the rank relative to normal speed.
 * @property running number of requests that the rank is processing.
 * @property observedAt when the observation arrived at the coordinator.
 */
public data class RankObservation(
    val group: GroupId,
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
