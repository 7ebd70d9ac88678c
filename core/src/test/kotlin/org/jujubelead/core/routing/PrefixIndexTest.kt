package org.jujubelead.core.routing

import org.jujubelead.core.membership.record
import org.jujubelead.core.membership.toTarget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class PrefixIndexTest {
    private val loads = List(3) { TargetLoad(record(it).toTarget()!!) }

    private fun PrefixIndex.holders(vararg prefixes: Long) = buildList {
        holdersOf(prefixes) { load, blocks -> add(load.target.key.instance.value to blocks) }
    }

    @Test
    fun `the longest known prefix is found with its two latest holders`() {
        val index = PrefixIndex()
        index.record(longArrayOf(1), loads[0])
        index.record(longArrayOf(1, 2), loads[1])
        index.record(longArrayOf(1, 2), loads[2])
        expectThat(index.holders(1, 2, 9)).containsExactly("t2" to 2, "t1" to 2)
        expectThat(index.holders(1, 9)).containsExactly("t2" to 1, "t1" to 1)
    }

    /** Guards against memory that grows with each prompt. */
    @Test
    fun `the least recently used prefixes are evicted`() {
        val index = PrefixIndex(maxPrefixes = 100)
        for (i in 1L..500L) index.record(longArrayOf(i), loads[0])
        expectThat(index.size).isEqualTo(100)
        expectThat(index.holders(1)).isEmpty()
    }
}
