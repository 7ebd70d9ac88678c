/** Result of the admission of an attempt by an agent. */
package org.jujubelead.core.execution

/** Why an agent refuses an attempt. */
public enum class RefusalCause {
    DRAINING,
    OVERLOADED,
    STALE_TICK,
    WRONG_INCARNATION,
    CANCELLED,
    DEADLINE_PASSED,
    MALFORMED,
}

/** Result of [ExecutionLedger.admit]. */
public sealed interface AdmitDecision {
    /** The attempt may be handed over to the target by [ExecutionLedger.handOver]. */
    public data object Admitted : AdmitDecision

    /**
     * The attempt is refused.
     *
     * @property notRun true when the attempt provably has not run and never will.
     */
    public data class Refused(val cause: RefusalCause, val notRun: Boolean) : AdmitDecision

    /** A duplicate of an attempt that arrived before. It must not be handed over again. */
    public data class AlreadyKnown(val state: AttemptState) : AdmitDecision
}
