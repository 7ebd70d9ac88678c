/** How an attempt ended, as the entry sees it. */
package org.jujubelead.runtime.entry

import org.jujubelead.protocol.RefusalReason

public sealed interface AttemptEnd {
    /** The whole answer was received. */
    public data class Complete(val finishReason: String) : AttemptEnd

    /**
     * The agent refused or broke off with a reason.
     *
     * @property notRun true when the agent proved that the attempt has not run and never will.
     */
    public data class Refused(val reason: RefusalReason, val notRun: Boolean, val detail: String) : AttemptEnd

    /** No connection could be opened; nothing was sent. */
    public data class Unreachable(val detail: String) : AttemptEnd

    /** The connection was lost after the attempt may have arrived, and could not be resumed. */
    public data class Lost(val detail: String) : AttemptEnd
}

/** Whether the attempt may have reached the target. */
public val AttemptEnd.possiblyHandedOver: Boolean
    get() = when (this) {
        is AttemptEnd.Complete -> true
        is AttemptEnd.Refused -> !notRun
        is AttemptEnd.Unreachable -> false
        is AttemptEnd.Lost -> true
    }
