/**
 * Tokens of one model answer on their way to the caller, over all attempts.
 *
 * A stream that moves to another target continues at the first token that the caller does not have yet, so that no
 * token is
 * repeated or skipped.
 */
package org.jujubelead.core.stream

/** What to do with a token. */
public enum class TokenVerdict { DELIVER, DUPLICATE, GAP }

/** Tokens delivered so far, in order. Owned by the one coroutine that serves the request. */
public class TokenSequence {
    private val tokens = ArrayList<String>()

    /** Tokens that the caller has. */
    public val delivered: List<String> get() = tokens

    /** Classifies the token at [position] of the whole answer and keeps it when it is the next one. */
    public fun accept(position: Int, text: String): TokenVerdict = when {
        position < tokens.size -> TokenVerdict.DUPLICATE

        position > tokens.size -> TokenVerdict.GAP

        else -> {
            tokens += text
            TokenVerdict.DELIVER
        }
    }
}
