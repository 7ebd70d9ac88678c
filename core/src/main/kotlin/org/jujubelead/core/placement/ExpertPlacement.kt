/**
 * Which rank holds which experts. All layers of a group share one placement, so that one switch step covers the whole
 * model and the map does not grow with the number of layers.
 */
package org.jujubelead.core.placement

/** For each rank, the distinct experts it holds, in ascending order. */
public data class ExpertPlacement(val ranks: List<List<Int>>) {
    /** Experts that [next] puts on [rank] and that the rank does not hold now. */
    public fun missing(rank: Int, next: ExpertPlacement): Int {
        val held = ranks.getOrNull(rank)?.toHashSet() ?: emptySet()
        return next.ranks[rank].count { it !in held }
    }

    /** Expert copies that have to be loaded, over all ranks, to get from here to [next]. */
    public fun moves(next: ExpertPlacement): Int = next.ranks.indices.sumOf { missing(rank = it, next = next) }

    public companion object {
        /** Experts in ascending blocks, one block to a rank, without replicas. */
        public fun contiguous(ranks: Int, experts: Int): ExpertPlacement =
            ExpertPlacement(List(ranks) { r -> (0 until experts).filter { it * ranks / experts == r } })
    }
}
