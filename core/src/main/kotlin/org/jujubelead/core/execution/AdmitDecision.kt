/** Decision of an agent about an attempt that arrives. */
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
    /** The attempt may be handed over, through [ExecutionLedger.handOver]. */
    public data object Admitted : AdmitDecision

    /**
     * The attempt is not run.
     *
     * @property notRun true when it is proved that the attempt has not run and never will.
     */
    public data class Refused(val cause: RefusalCause, val notRun: Boolean) : AdmitDecision

    /** A copy of an attempt that arrived before. It must not be handed over again. */
    public data class AlreadyKnown(val state: AttemptState) : AdmitDecision
}
