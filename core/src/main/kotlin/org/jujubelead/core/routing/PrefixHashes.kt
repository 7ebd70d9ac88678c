/** Hashes of growing prefixes of a prompt. Prompts that share a prefix share its hashes. */
package org.jujubelead.core.routing

public object PrefixHashes {
    /** Characters of a prompt per block, about 64 tokens of English text. */
    public const val BLOCK_CHARACTERS: Int = 256

    /** Longest prefix that is looked at; bounds the cost of a decision. */
    public const val MOST_BLOCKS: Int = 64

    private const val FNV_OFFSET = -3750763034362895579L

    // Constants of the SplitMix64 finalizer.
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val MULTIPLIER_1 = -4658895280553007687L
    private const val MULTIPLIER_2 = -7723592293110705685L

    private const val FNV_PRIME = 1099511628211L

    /** One hash for every whole block of [prompt], shortest prefix first. */
    public fun of(prompt: CharSequence): LongArray {
        val blocks = (prompt.length / BLOCK_CHARACTERS).coerceAtMost(MOST_BLOCKS)
        val hashes = LongArray(blocks)
        var hash = FNV_OFFSET
        for (block in 0 until blocks) {
            for (i in block * BLOCK_CHARACTERS until (block + 1) * BLOCK_CHARACTERS) {
                hash = (hash xor prompt[i].code.toLong()) * FNV_PRIME
            }
            hashes[block] = mix(hash)
        }
        return hashes
    }

    /** Spreads the bits of [value] evenly (the finisher of SplitMix64). */
    @Suppress("MagicNumber")
    public fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr SHIFT_1)) * MULTIPLIER_1
        z = (z xor (z ushr SHIFT_2)) * MULTIPLIER_2
        return z xor (z ushr SHIFT_3)
    }
}
