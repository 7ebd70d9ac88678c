/**
 * The text of a generation as a pure function of prompt, seed and position.
 *
 * A checker can tell from it whether a caller got the whole answer to its own request, and a stream that moves to
 * another engine continues exactly.
 */
package org.jujubelead.standins

private const val MIX = -7046029254386353131L // 2^64 divided by the golden ratio, as in SplitMix64
private const val SHIFT_A = 30
private const val SHIFT_B = 27
private const val SHIFT_C = 31
private const val MULTIPLIER_A = -4658895280553007687L
private const val MULTIPLIER_B = -7723592293110705685L
private const val STOP_ONE_IN = 4L

/** Tokens of one answer. */
public class AnswerText(prompt: String, seed: Long) {
    private val base = prompt.fold(mix(seed)) { h, c -> mix(h xor c.code.toLong()) }

    /** Token at [position]. */
    public fun token(position: Int): String =
        "t$position-${(mix(base + position + 1) ushr Int.SIZE_BITS).toString(radix = 36)} "

    /** Number of tokens: [maxTokens], but one answer in four ends by itself earlier. */
    public fun length(maxTokens: Int): Int {
        val h = mix(base) ushr 1
        return if (h % STOP_ONE_IN == 0L) 1 + ((h / STOP_ONE_IN) % maxTokens).toInt() else maxTokens
    }

    /** Why the answer ends: `stop` by itself, `length` at the limit. */
    public fun reason(maxTokens: Int): String = if (length(maxTokens) < maxTokens) "stop" else "length"

    /** The whole answer. */
    public fun tokens(maxTokens: Int): List<String> = List(length(maxTokens)) { token(it) }

    private fun mix(value: Long): Long {
        var z = value + MIX
        z = (z xor (z ushr SHIFT_A)) * MULTIPLIER_A
        z = (z xor (z ushr SHIFT_B)) * MULTIPLIER_B
        return z xor (z ushr SHIFT_C)
    }
}
