/**
 * Order of the states of the platform's store.
 *
 * The store numbers its changes. When it comes back from a copy it loses the changes since, starts a new era, and
 * assigns their numbers again to other changes. A number alone therefore neither orders two states nor shows that they
 * are the same: both follow from era and number together.
 */
package org.jujubelead.core.store

/** Period between two returns of the store from a copy. Higher is later. */
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()

    public companion object {
        /** Stands for the era while the store has not answered yet. */
        public val UNKNOWN: StoreEra = StoreEra(-1)
    }
}

/**
 * A change of the store.
 *
 * @property era era that assigned [number], or that found the change in the copy from which it started.
 * @property number number by which the store knows the change in its [era].
 */
public data class StoreRevision(val era: StoreEra, val number: Long) : Comparable<StoreRevision> {
    /** Term of a leader that took over with this change. */
    public val term: Term get() = Term(era.value * NUMBERS_PER_ERA + number)

    override fun compareTo(other: StoreRevision): Int = compareValuesBy(this, other, { it.era }, { it.number })

    /** The number that a precondition in [current] may name; null if this revision is of another era. */
    public fun numberIn(current: StoreEra): Long? = number.takeIf { era == current }

    override fun toString(): String = "$era/$number"

    private companion object {
        /** More changes than a return from a copy loses; it keeps the terms of thousands of eras within 53 bits. */
        const val NUMBERS_PER_ERA = 1L shl 24
    }
}

/** Term of a leader that was elected through the store. Later leaders have higher terms, across eras. */
@JvmInline
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()

    public companion object {
        /** Lower than the term of any leader. */
        public val NONE: Term = Term(0)
    }
}
