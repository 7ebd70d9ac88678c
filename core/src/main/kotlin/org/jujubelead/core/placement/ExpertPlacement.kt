/**
 * Assignment of experts to the ranks of a group. All layers share one placement, so that a single step switches the
 * whole model and the size of the map does not depend on the number of layers.
 */
package org.jujubelead.core.placement

/** For each rank, the distinct experts it holds, in ascending order. */
public data class ExpertPlacement(val ranks: List<List<Int>>) {
    /** Number of experts that [rank] holds in [next] but not in this placement. */
    public fun missing(rank: Int, next: ExpertPlacement): Int {
        val held = ranks.getOrNull(rank)?.toHashSet() ?: emptySet()
        return next.ranks[rank].count { it !in held }
    }

    /** Number of expert copies that all ranks have to load to change from this placement to [next]. */
    public fun moves(next: ExpertPlacement): Int = next.ranks.indices.sumOf { missing(rank = it, next = next) }

    public companion object {
        /** Splits the experts into ascending blocks, one per rank, without replicas. */
        public fun contiguous(ranks: Int, experts: Int): ExpertPlacement =
            ExpertPlacement(List(ranks) { r -> (0 until experts).filter { it * ranks / experts == r } })
    }
}
