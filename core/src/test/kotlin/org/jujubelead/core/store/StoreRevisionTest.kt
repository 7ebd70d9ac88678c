package org.jujubelead.core.store

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class StoreRevisionTest {
    private fun revision(era: Long, number: Long) = StoreRevision(StoreEra(era), number)

    /** Guards against a change of a later era that is taken for an older one because its number is lower. */
    @Test
    fun `a lower number of a later era is later, and no number of another era is the same`() {
        expectThat(revision(2, 36)).isGreaterThan(revision(1, 38))
        expectThat(revision(2, 38)).isNotEqualTo(revision(1, 38))
        expectThat(revision(1, 38).numberIn(StoreEra(2))).isNull()
        expectThat(revision(1, 38).numberIn(StoreEra(1))).isEqualTo(38)
    }

    /** Guards against a coordinator whose term, and whose versions of maps, are below those of an earlier era. */
    @Test
    fun `terms have the order of revisions and stay below 53 bits`() {
        runBlocking {
            val numbers = Arb.long(1L..NUMBERS)
            checkAll(Arb.long(0L..ERAS), numbers, Arb.long(0L..ERAS), numbers) { era, number, otherEra, otherNumber ->
                val one = revision(era, number)
                val other = revision(otherEra, otherNumber)
                expectThat(one.term.compareTo(other.term)).isEqualTo(one.compareTo(other))
                expectThat(one.term.value * VERSIONS_PER_TERM).isLessThan(1L shl 53)
            }
        }
    }

    private companion object {
        const val ERAS = 10_000L
        const val NUMBERS = 1L shl 23
        const val VERSIONS_PER_TERM = 10_000L
    }
}
