/** Names of the states of the platform's store. */
package org.jujubelead.core.store

/** Period between two returns of the store from a copy. Higher is later. */
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}
