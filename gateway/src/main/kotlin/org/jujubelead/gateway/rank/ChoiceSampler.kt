/** Selects the expert counts that an agent sends with a status, because the counts of all sets would be too large. */
package org.jujubelead.gateway.rank

internal class ChoiceSampler {
    private var base: List<Int> = emptyList()
    private var round = 0

    /** Begins the next sample with the rank's cumulative [counts]. */
    fun begin(counts: List<Int>) {
        base = counts
    }

    /** Choices of some complete sets, beginning with [firstSet]. */
    class Sample(val firstSet: Int, val choices: List<Int>)

    /**
     * Returns how often the rank's tokens chose the experts of some sets since the sample began, according to its
     * cumulative [counts], and begins the next one. Ranks start with different sets and rotate, so that all sets are
     * sampled at any time.
     */
    fun sample(counts: List<Int>, sets: Int, rank: Int): Sample {
        val choices = choicesSinceBase(counts)
        begin(counts)
        if (sets == 0 || choices.isEmpty()) return Sample(0, emptyList())
        val perSet = choices.size / sets
        val whole = (MAX_CHOICES / perSet).coerceIn(1, sets)
        val firstSet = (rank + round++) * whole % sets
        val end = minOf(firstSet + whole, sets)
        return Sample(firstSet, choices.subList(firstSet * perSet, end * perSet))
    }

    /** Returns the increase of each count. The counts of a restarted rank start at zero again. */
    private fun choicesSinceBase(counts: List<Int>): List<Int> {
        if (base.size != counts.size) return emptyList()
        val added = counts.indices.map { counts[it] - base[it] }
        return if (added.any { it < 0 }) emptyList() else added
    }

    private companion object {
        /** Choices in one status, one byte each, which makes a status about two kilobytes. */
        const val MAX_CHOICES = 1_100
    }
}
