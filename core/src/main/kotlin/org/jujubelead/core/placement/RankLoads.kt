/** Load of ranks under a placement. The copies of an expert share its load evenly. */
package org.jujubelead.core.placement

/** Step time of each rank in units of load over capacity. */
public fun ExpertPlacement.rankTimes(loads: List<Double>, capacities: List<Double>): List<Double> {
    val copies = IntArray(loads.size)
    ranks.forEach { held -> held.forEach { copies[it] += 1 } }
    return ranks.mapIndexed { r, held -> held.sumOf { loads[it] / copies[it] } / capacities[r] }
}

/** Slowest rank over mean rank; 1 for a group without load. */
public fun ExpertPlacement.skew(loads: List<Double>, capacities: List<Double>): Double {
    val times = rankTimes(loads, capacities)
    val mean = times.average()
    return if (mean == 0.0) 1.0 else times.max() / mean
}

/**
 * Time of the slowest rank that no placement can go below: the load over all capacity, and the heaviest expert over
 * the fastest ranks that can hold its copies when all spare slots are its replicas.
 */
public fun lowerBoundTime(loads: List<Double>, capacities: List<Double>, spareSlots: Int): Double {
    val average = loads.sum() / capacities.sum()
    val holders = minOf(capacities.size, 1 + spareSlots)
    return maxOf(average, loads.max() / (holders * capacities.max()))
}
