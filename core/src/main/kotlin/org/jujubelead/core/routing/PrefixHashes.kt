/** Hashes of the prefixes of a prompt, block by block. Prompts that share a prefix share the hashes of that prefix. */
package org.jujubelead.core.routing

public object PrefixHashes {
    /** Characters per block; about 64 tokens of English text. */
    public const val BLOCK_CHARACTERS: Int = 256

    /** Maximum length of a hashed prefix in blocks; bounds the cost of a decision. */
    public const val MAX_BLOCKS: Int = 64

    private const val FNV_OFFSET = -3750763034362895579L

    // Constants of the SplitMix64 finalizer.
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val MULTIPLIER_1 = -4658895280553007687L
    private const val MULTIPLIER_2 = -7723592293110705685L

    private const val FNV_PRIME = 1099511628211L

    /** Returns one hash per complete block of [prompt], shortest prefix first. */
    public fun of(prompt: CharSequence): LongArray {
        val blocks = (prompt.length / BLOCK_CHARACTERS).coerceAtMost(MAX_BLOCKS)
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

    /** Mixes the bits of [value] with the finalizer of SplitMix64. */
    @Suppress("MagicNumber")
    public fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr SHIFT_1)) * MULTIPLIER_1
        z = (z xor (z ushr SHIFT_2)) * MULTIPLIER_2
        return z xor (z ushr SHIFT_3)
    }
}
