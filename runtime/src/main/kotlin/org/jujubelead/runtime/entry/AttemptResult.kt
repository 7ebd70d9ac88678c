/** Results of attempts, as an entry sees them. */
package org.jujubelead.runtime.entry

import org.jujubelead.protocol.RefusalReason

/** Result of one attempt. */
public sealed interface AttemptResult {
    /** The complete answer was received. */
    public data class Complete(val finishReason: String) : AttemptResult

    /**
     * The agent refused the attempt or aborted it with a reason.
     *
     * @property notRun true if the agent confirmed that the attempt has not run and never will.
     */
    public data class Refused(val reason: RefusalReason, val notRun: Boolean, val detail: String) : AttemptResult

    /** No connection could be opened; nothing was sent. */
    public data class Unreachable(val detail: String) : AttemptResult

    /** The connection was lost after the attempt may have reached the agent, and could not be resumed. */
    public data class Lost(val detail: String) : AttemptResult
}

/** Whether the attempt may have reached the target. */
public val AttemptResult.possiblyHandedOver: Boolean
    get() = when (this) {
        is AttemptResult.Complete -> true
        is AttemptResult.Refused -> !notRun
        is AttemptResult.Unreachable -> false
        is AttemptResult.Lost -> true
    }
