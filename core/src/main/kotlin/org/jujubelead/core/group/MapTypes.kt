/** Data types of the two-phase change of an expert map. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement

/** Index of a rank in its group, starting at 0. */
@JvmInline
public value class RankId(public val value: Int) : Comparable<RankId> {
    override fun compareTo(other: RankId): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** Number of an expert map. Each epoch identifies a single map; later maps have higher epochs. */
@JvmInline
public value class MapEpoch(public val value: Long) : Comparable<MapEpoch> {
    override fun compareTo(other: MapEpoch): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** Number of a formation of the group. Steps start at 0 in each generation. */
@JvmInline
public value class GroupGeneration(public val value: Long) : Comparable<GroupGeneration> {
    override fun compareTo(other: GroupGeneration): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()

    public companion object {
        /** The rank has joined no generation since its engine started. */
        public val NONE: GroupGeneration = GroupGeneration(0)
    }
}

/** A placement with its epoch. */
public data class ExpertMap(val epoch: MapEpoch, val placement: ExpertPlacement)

/**
 * The group record in the key-value service, updated by compare-and-swap. It is written before the first order about a
 * map or a generation, so that a successor knows the map of every epoch that a rank may have.
 *
 * @property members the instance of each rank, indexed by rank.
 * @property committed the map that the generation started with, or a later one known to be committed.
 * @property proposed the only other map that may be prepared, armed or committed.
 */
public data class GroupRecord(
    val generation: GroupGeneration,
    val members: List<InstanceId>,
    val committed: ExpertMap,
    val proposed: ExpertMap? = null,
) {
    /** Returns the map with this epoch, or null if the record does not contain it. */
    public fun map(epoch: MapEpoch?): ExpertMap? = listOfNotNull(proposed, committed).firstOrNull { it.epoch == epoch }
}
