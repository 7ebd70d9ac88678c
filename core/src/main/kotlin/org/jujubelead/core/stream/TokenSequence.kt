/**
 * The tokens of one model answer that were delivered to the caller, across all attempts.
 *
 * A stream that moves to another target continues with the first token that was not delivered, so that no token is
 * repeated or skipped.
 */
package org.jujubelead.core.stream

/** What to do with a token. */
public enum class TokenVerdict { DELIVER, DUPLICATE, GAP }

/** Not thread-safe: confined to the coroutine that serves the request. */
public class TokenSequence {
    private val tokens = ArrayList<String>()

    /** Tokens delivered so far, in order. */
    public val delivered: List<String> get() = tokens

    /** Classifies the token at [position] of the complete answer, and records it when it is the next one. */
    public fun accept(position: Int, text: String): TokenVerdict = when {
        position < tokens.size -> TokenVerdict.DUPLICATE

        position > tokens.size -> TokenVerdict.GAP

        else -> {
            tokens += text
            TokenVerdict.DELIVER
        }
    }
}
