/**
 * Generated text as a pure function of prompt, seed and position.
 *
 * A test can therefore check that a caller received the complete response to its own request, and a stream that moves
 * to another engine continues with the same text.
 */
package org.jujubelead.standins

private const val GOLDEN_GAMMA = -7046029254386353131L // 2^64 divided by the golden ratio, as in SplitMix64
private const val SHIFT_A = 30
private const val SHIFT_B = 27
private const val SHIFT_C = 31
private const val MULTIPLIER_A = -4658895280553007687L
private const val MULTIPLIER_B = -7723592293110705685L
private const val EARLY_STOP_DIVISOR = 4L

/** Tokens of one response. */
public class AnswerText(prompt: String, seed: Long) {
    private val base = prompt.fold(mix(seed)) { h, c -> mix(h xor c.code.toLong()) }

    /** Token at [position]. */
    public fun token(position: Int): String =
        "t$position-${(mix(base + position + 1) ushr Int.SIZE_BITS).toString(radix = 36)} "

    /** Number of tokens. One response in four ends before [maxTokens]. */
    public fun length(maxTokens: Int): Int {
        val h = mix(base) ushr 1
        return if (h % EARLY_STOP_DIVISOR == 0L) 1 + ((h / EARLY_STOP_DIVISOR) % maxTokens).toInt() else maxTokens
    }

    /** Finish reason: `length` if [maxTokens] ended the response, else `stop`. */
    public fun reason(maxTokens: Int): String = if (length(maxTokens) < maxTokens) "stop" else "length"

    /** All tokens of the response. */
    public fun tokens(maxTokens: Int): List<String> = List(length(maxTokens)) { token(it) }

    private fun mix(value: Long): Long {
        var z = value + GOLDEN_GAMMA
        z = (z xor (z ushr SHIFT_A)) * MULTIPLIER_A
        z = (z xor (z ushr SHIFT_B)) * MULTIPLIER_B
        return z xor (z ushr SHIFT_C)
    }
}
