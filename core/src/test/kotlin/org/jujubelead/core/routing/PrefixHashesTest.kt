package org.jujubelead.core.routing

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class PrefixHashesTest {
    private val block = "x".repeat(PrefixHashes.BLOCK_CHARACTERS)

    /** Guards against prompts with the same beginning not being recognised, or different ones being taken as equal. */
    @Test
    fun `hashes agree as far as the prompts do`() {
        val one = PrefixHashes.of(block + block + "a".repeat(PrefixHashes.BLOCK_CHARACTERS))
        val two = PrefixHashes.of(block + block + "b".repeat(PrefixHashes.BLOCK_CHARACTERS) + block)
        expectThat(one.take(2)).isEqualTo(two.take(2))
        expectThat(one[2]).isNotEqualTo(two[2])
    }

    @Test
    fun `only whole blocks count and their number is bounded`() {
        expectThat(PrefixHashes.of("short").size).isEqualTo(0)
        expectThat(PrefixHashes.of(block.repeat(100)).size).isEqualTo(PrefixHashes.MAX_BLOCKS)
    }
}
