/**
 * Greedy local search that repeatedly applies the change with the largest gain per moved copy.
 *
 * The possible changes are: load an expert of a slow rank into an empty slot or over a copy of a replicated expert on
 * another rank (one move), replace a replicated copy on a slow rank by another expert (one move), and swap two experts
 * (two moves). The objective is a high norm of the ranks' times instead of their maximum, because a change that
 * relieves one of several equally slow ranks does not lower the maximum.
 */
package org.jujubelead.core.placement

private const val EMPTY = -1

/** Number of slowest ranks considered per change. 16 took three times as long without a gain on the tuning traces. */
private const val SLOW_RANKS = 6

/** The norm is the 64th root of the sum of 64th powers. With 16th powers the tuning traces kept 4 % more skew. */
private const val SQUARINGS = 6
private const val NORM = 64.0

internal class PlacementSearch(
    start: ExpertPlacement,
    private val loads: DoubleArray,
    private val capacities: DoubleArray,
    private val slotsPerRank: Int,
    private val maxLoadsPerRank: Int = Int.MAX_VALUE,
    private val candidates: Int = Int.MAX_VALUE,
) {
    private class Change(val rank: Int, val slot: Int, val expert: Int, val otherRank: Int, val otherSlot: Int) {
        val moves get() = if (otherRank == EMPTY) 1 else 2
    }

    /** The best change found so far. A further one has to bring the power below a limit that depends on its moves. */
    private inner class Best(private val left: Int, minGain: Double) {
        private val before = norm(power)
        var change: Change? = null
            private set
        private var maxPowerOfLoad = 0.0
        private var maxPowerOfSwap = 0.0

        init {
            setGain(minGain)
        }

        private fun setGain(gain: Double) {
            maxPowerOfLoad = normPower(before - gain)
            maxPowerOfSwap = normPower(before - 2 * gain)
        }

        fun considerLoad(rank: Int, slot: Int, expert: Int, after: Double) {
            if (left < 1 || after >= maxPowerOfLoad || newExpertsAfter(rank, slot, expert) > maxLoadsPerRank) return
            change = Change(rank, slot, expert, EMPTY, EMPTY)
            setGain(before - norm(after))
        }

        fun considerSwap(rank: Int, slot: Int, expert: Int, otherRank: Int, otherSlot: Int, after: Double) {
            if (left < 2 || after >= maxPowerOfSwap) return
            if (newExpertsAfter(rank, slot, expert) > maxLoadsPerRank) return
            if (newExpertsAfter(otherRank, otherSlot, slots[rank][slot]) > maxLoadsPerRank) return
            change = Change(rank, slot, expert, otherRank, otherSlot)
            setGain((before - norm(after)) / 2)
        }
    }

    private val ranks = capacities.size
    private val original = start.ranks.map { it.toHashSet() }
    private val slots = Array(ranks) { r -> IntArray(slotsPerRank) { start.ranks[r].getOrElse(it) { EMPTY } } }
    private val holders = Array(loads.size) { ArrayList<Int>() }
    private val times = DoubleArray(ranks)
    private val powers = DoubleArray(ranks)
    private val trial = DoubleArray(ranks)
    private val touched = IntArray(2 * ranks + 2)
    private var touchedCount = 0
    private var targets = IntArray(0)
    private var heaviest = IntArray(0)
    private val scale: Double
    private var power = 0.0

    init {
        slots.forEachIndexed { r, held -> held.forEach { if (it != EMPTY) holders[it] += r } }
        scale = loads.sum() / capacities.sum()
        measure()
    }

    val placement: ExpertPlacement
        get() = ExpertPlacement(slots.map { held -> held.filter { it != EMPTY }.sorted() })

    private fun share(expert: Int) = if (expert == EMPTY) 0.0 else loads[expert] / holders[expert].size

    private fun power(time: Double): Double {
        var y = time / scale
        repeat(SQUARINGS) { y *= y }
        return y
    }

    private fun norm(power: Double) = Math.pow(power, 1 / NORM)

    /** Inverse of [norm]; 0 for a norm that cannot be reached. */
    private fun normPower(norm: Double) = if (norm <= 0) 0.0 else power(norm * scale)

    /** Applies changes that gain at least [minGain] per move, up to [budget] moves; returns the number of moves. */
    fun improve(budget: Int, minGain: Double): Int {
        var left = budget
        while (left > 0 && scale > 0) {
            val change = best(left, minGain) ?: break
            left -= change.moves
            apply(change)
        }
        return budget - left
    }

    private fun best(left: Int, minGain: Double): Change? {
        val slow = largest(times, SLOW_RANKS)
        targets = if (candidates < ranks) smallest(times, candidates) else IntArray(ranks) { it }
        heaviest = if (candidates < loads.size) heaviestExperts() else IntArray(loads.size) { it }
        val best = Best(left, minGain)
        for (r in slow) {
            for (s in 0 until slotsPerRank) {
                val e = slots[r][s]
                if (e == EMPTY) continue
                if (holders[e].size > 1) considerReplacements(r, s, best)
                considerMoves(r, s, e, best)
            }
        }
        return best.change
    }

    private fun heaviestExperts(): IntArray = largest(DoubleArray(loads.size) { share(it) }, candidates)

    private fun newExpertsAfter(rank: Int, slot: Int, expert: Int): Int {
        var count = 0
        for (s in slots[rank].indices) {
            val e = if (s == slot) expert else slots[rank][s]
            if (e != EMPTY && e !in original[rank]) count++
        }
        return count
    }

    private fun considerReplacements(r: Int, s: Int, best: Best) {
        for (other in heaviest) {
            if (r !in holders[other]) best.considerLoad(r, s, other, powerAfterLoad(r, s, other))
        }
    }

    private fun considerMoves(r: Int, s: Int, e: Int, best: Best) {
        for (t in targets) {
            if (times[t] >= times[r] || t in holders[e]) continue
            for (u in 0 until slotsPerRank) {
                val v = slots[t][u]
                if (v == EMPTY || holders[v].size > 1) best.considerLoad(t, u, e, powerAfterLoad(t, u, e))
                if (v != EMPTY && r !in holders[v]) {
                    best.considerSwap(t, u, e, r, s, powerAfterSwap(r, t, share(e) - share(v)))
                }
            }
        }
    }

    private fun powerAfterLoad(rank: Int, slot: Int, expert: Int): Double {
        touchedCount = 0
        val copies = holders[expert].size
        val less = loads[expert] / (copies + 1) - loads[expert] / copies
        for (h in holders[expert]) add(h, less)
        add(rank, loads[expert] / (copies + 1))
        val old = slots[rank][slot]
        if (old != EMPTY) {
            val n = holders[old].size
            for (h in holders[old]) add(h, if (h == rank) -loads[old] / n else loads[old] / (n - 1) - loads[old] / n)
        }
        return touchedPower()
    }

    private fun powerAfterSwap(from: Int, to: Int, difference: Double): Double {
        touchedCount = 0
        add(from, -difference)
        add(to, difference)
        return touchedPower()
    }

    private fun add(rank: Int, load: Double) {
        trial[rank] += load
        touched[touchedCount++] = rank
    }

    private fun touchedPower(): Double {
        var sum = power
        for (i in 0 until touchedCount) {
            val r = touched[i]
            if (trial[r] == 0.0) continue
            sum += power(times[r] + trial[r] / capacities[r]) - powers[r]
            trial[r] = 0.0
        }
        return sum
    }

    private fun apply(change: Change) {
        val old = slots[change.rank][change.slot]
        if (old != EMPTY) holders[old].remove(change.rank)
        slots[change.rank][change.slot] = change.expert
        holders[change.expert] += change.rank
        if (change.otherRank != EMPTY) {
            holders[change.expert].remove(change.otherRank)
            slots[change.otherRank][change.otherSlot] = old
            holders[old] += change.otherRank
        }
        measure()
    }

    private fun measure() {
        for (r in 0 until ranks) {
            times[r] = slots[r].sumOf { share(it) } / capacities[r]
            powers[r] = power(times[r])
        }
        power = powers.sum()
    }
}

/** Indices of the [count] largest of [values], in descending order; equal ones in ascending order of their index. */
internal fun largest(values: DoubleArray, count: Int): IntArray {
    val found = IntArray(minOf(count, values.size))
    var size = 0
    for (i in values.indices) {
        if (size == found.size && (size == 0 || values[i] <= values[found[size - 1]])) continue
        var at = if (size < found.size) size++ else size - 1
        while (at > 0 && values[found[at - 1]] < values[i]) found[at] = found[--at]
        found[at] = i
    }
    return found
}

/** Indices of the [count] smallest of [values], in descending order; of equal ones, those with the highest index. */
internal fun smallest(values: DoubleArray, count: Int): IntArray {
    val last = values.size - 1
    val reversed = largest(DoubleArray(values.size) { -values[last - it] }, count)
    return IntArray(reversed.size) { last - reversed[reversed.size - 1 - it] }
}

/**
 * Improves [start] by a greedy local search.
 *
 * @param budget maximum number of expert copies loaded in total.
 * @param minGain minimum gain in the relative time of the slowest rank per loaded copy.
 * @param maxLoadsPerRank maximum number of expert copies that one rank loads.
 * @param candidates number of least loaded ranks and of heaviest experts considered for each change; bounds the
 * duration of a search in large groups.
 */
public fun improvePlacement(
    start: ExpertPlacement,
    loads: List<Double>,
    capacities: List<Double>,
    slotsPerRank: Int,
    budget: Int,
    minGain: Double,
    maxLoadsPerRank: Int,
    candidates: Int = Int.MAX_VALUE,
): ExpertPlacement {
    val search = PlacementSearch(
        start = start,
        loads = loads.toDoubleArray(),
        capacities = capacities.toDoubleArray(),
        slotsPerRank = slotsPerRank,
        maxLoadsPerRank = maxLoadsPerRank,
        candidates = candidates,
    )
    search.improve(budget = budget, minGain = minGain)
    return search.placement
}
