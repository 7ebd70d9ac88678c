/** Load of the ranks under a placement. The load of an expert is divided evenly among its copies. */
package org.jujubelead.core.placement

/** Step time of each rank, as its load divided by its capacity. */
public fun ExpertPlacement.rankTimes(loads: List<Double>, capacities: List<Double>): List<Double> {
    val copies = IntArray(loads.size)
    ranks.forEach { held -> held.forEach { copies[it] += 1 } }
    return ranks.mapIndexed { r, held -> held.sumOf { loads[it] / copies[it] } / capacities[r] }
}

/** Time of the slowest rank divided by the mean over all ranks; 1 for a group without load. */
public fun ExpertPlacement.skew(loads: List<Double>, capacities: List<Double>): Double {
    val times = rankTimes(loads, capacities)
    val mean = times.average()
    return if (mean == 0.0) 1.0 else times.max() / mean
}

/**
 * Lower bound of the time of the slowest rank over all placements: the maximum of the total load divided by the total
 * capacity, and of the heaviest expert's load divided among as many of the fastest ranks as can hold a copy when all
 * spare slots hold its replicas.
 */
public fun lowerBoundTime(loads: List<Double>, capacities: List<Double>, spareSlots: Int): Double {
    val average = loads.sum() / capacities.sum()
    val holders = minOf(capacities.size, 1 + spareSlots)
    return maxOf(average, loads.max() / (holders * capacities.max()))
}
