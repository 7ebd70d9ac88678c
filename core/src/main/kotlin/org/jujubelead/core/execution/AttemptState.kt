/** State of an attempt as reported by an agent. */
package org.jujubelead.core.execution

/** State of an attempt, as far as this incarnation of the agent can prove it. */
public enum class AttemptState {
    /** Has not run and never will. */
    NOT_RUN,

    /** Admitted, but not handed over to the target yet. */
    ADMITTED,

    /** Handed over to the target, and not finished. */
    RUNNING,

    /** The target has answered. */
    FINISHED,

    /** Nothing can be proved: the attempt belongs to another incarnation, or its record may have been dropped. */
    UNKNOWN,
}

/**
 * Result of [ExecutionLedger.lookup].
 *
 * @property answer the stored answer of a finished attempt; null when it was not stored or has been dropped.
 */
public data class AttemptLookup<out A>(val state: AttemptState, val answer: A? = null)
