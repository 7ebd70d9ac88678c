/** Builds a placement by longest-processing-time-first (LPT) scheduling, with replicas of heavy experts. */
package org.jujubelead.core.placement

/**
 * Gives each spare slot to the expert with the highest load per copy, then assigns the copies, heaviest first, to the
 * rank with the lowest resulting time.
 */
public fun greedyPlacement(
    loads: List<Double>,
    capacities: List<Double>,
    slotsPerRank: Int,
    replicas: Boolean = true,
): ExpertPlacement {
    val ranks = capacities.size
    val copies = IntArray(loads.size) { 1 }
    repeat(if (replicas) ranks * slotsPerRank - loads.size else 0) {
        val e = loads.indices.filter { copies[it] < ranks }.maxByOrNull { loads[it] / copies[it] } ?: return@repeat
        copies[e] += 1
    }
    val held = List(ranks) { ArrayList<Int>() }
    val times = DoubleArray(ranks)
    for (e in loads.indices.sortedByDescending { loads[it] / copies[it] }) {
        val share = loads[e] / copies[e]
        repeat(copies[e]) {
            val r = (0 until ranks).filter { held[it].size < slotsPerRank && e !in held[it] }
                .minByOrNull { times[it] + share / capacities[it] } ?: return@repeat
            held[r] += e
            times[r] += share / capacities[r]
        }
    }
    return ExpertPlacement(held.map { it.sorted() })
}

/**
 * Permutes the ranks of this placement so that few copies have to move from [current]. Only ranks of equal capacity are
 * exchanged.
 */
public fun ExpertPlacement.matchedTo(current: ExpertPlacement, capacities: List<Double>): ExpertPlacement {
    val holders = HashMap<Int, MutableList<Int>>()
    current.ranks.forEachIndexed { r, held -> held.forEach { holders.getOrPut(it) { ArrayList() } += r } }
    val pairs = ranks.flatMapIndexed { from, held ->
        held.flatMap { holders[it].orEmpty() }.groupingBy { it }.eachCount()
            .filterKeys { capacities[it] == capacities[from] }.map { (to, shared) -> Triple(from, to, shared) }
    }
    val target = IntArray(ranks.size) { -1 }
    val taken = BooleanArray(ranks.size)
    fun assign(from: Int, to: Int) {
        if (target[from] >= 0 || taken[to]) return
        target[from] = to
        taken[to] = true
    }
    pairs.sortedWith(compareBy({ -it.third }, { it.first }, { it.second })).forEach { assign(it.first, it.second) }
    for (from in ranks.indices) {
        if (target[from] >= 0) continue
        assign(from, ranks.indices.first { !taken[it] && capacities[it] == capacities[from] })
    }
    val result = arrayOfNulls<List<Int>>(ranks.size)
    ranks.forEachIndexed { from, held -> result[target[from]] = held }
    return ExpertPlacement(result.map { checkNotNull(it) })
}
