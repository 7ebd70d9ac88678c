/** Values that the two-phase change of an expert map is made of. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement

/** Position of a rank in its group, from 0. */
@JvmInline
public value class RankId(public val value: Int) : Comparable<RankId> {
    override fun compareTo(other: RankId): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** Number of an expert map. An epoch names one map only; a later map has a higher epoch. */
@JvmInline
public value class MapEpoch(public val value: Long) : Comparable<MapEpoch> {
    override fun compareTo(other: MapEpoch): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** Number of a formation of the group. Steps are counted from 0 in each generation. */
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
 * The group's record in the key-value service, changed by compare-and-swap. It is written before the first order about
 * a map or a generation, so that a successor knows the content of every epoch that a rank may hold.
 *
 * @property members the instance of each rank, by rank.
 * @property committed the map the generation started with, or a later one known to be committed.
 * @property proposed the one map that may be prepared, armed or committed beside it.
 */
public data class GroupRecord(
    val generation: GroupGeneration,
    val members: List<InstanceId>,
    val committed: ExpertMap,
    val proposed: ExpertMap? = null,
) {
    /** The map with this epoch, when the record has it. */
    public fun map(epoch: MapEpoch?): ExpertMap? = listOfNotNull(proposed, committed).firstOrNull { it.epoch == epoch }
}
