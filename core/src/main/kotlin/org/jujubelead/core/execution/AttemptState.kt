/** What an agent can say about an attempt. */
package org.jujubelead.core.execution

/** State of an attempt, as far as this incarnation of the agent can prove it. */
public enum class AttemptState {
    /** Did not run and never will. */
    NOT_RUN,

    /** Admitted, and not handed over yet. */
    ADMITTED,

    /** Handed over to the target; still running. */
    RUNNING,

    /** The target has answered. */
    FINISHED,

    /** Nothing can be proved: another incarnation, or the record may have been dropped. */
    UNKNOWN,
}

/**
 * Answer to a look-up.
 *
 * @property answer the stored answer of a finished attempt; null when it was too large or has been dropped.
 */
public data class AttemptLookup<out A>(val state: AttemptState, val answer: A? = null)
