package org.jujubelead.core.routing

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class PrefixHashesTest {
    private val block = "x".repeat(PrefixHashes.BLOCK_CHARACTERS)

    /** Guards against missing a common prefix of two prompts, and against reporting a prefix they do not share. */
    @Test
    fun `prompts share the hashes of their common prefix`() {
        val one = PrefixHashes.of(block + block + "a".repeat(PrefixHashes.BLOCK_CHARACTERS))
        val two = PrefixHashes.of(block + block + "b".repeat(PrefixHashes.BLOCK_CHARACTERS) + block)
        expectThat(one.take(2)).isEqualTo(two.take(2))
        expectThat(one[2]).isNotEqualTo(two[2])
    }

    @Test
    fun `only complete blocks are hashed and their number is limited`() {
        expectThat(PrefixHashes.of("short").size).isEqualTo(0)
        expectThat(PrefixHashes.of(block.repeat(100)).size).isEqualTo(PrefixHashes.MAX_BLOCKS)
    }
}
