/** Results of a request for a key. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.InstanceId

/** Tells an entry whether it may dispatch the attempt that it requested the key for. */
public sealed interface ClaimDecision {
    /** The key belongs to [permit]. The entry dispatches it once, to the process and with the tick given there. */
    public data class Granted(val permit: ClaimedAttempt) : ClaimDecision

    /** The key belongs to another attempt. The entry asks that attempt's agent about its outcome. */
    public data class Held(val holder: ClaimedAttempt) : ClaimDecision

    /** The key was used for a different request (HTTP status 422). */
    public data object Mismatch : ClaimDecision

    /** The claim was not recorded and never will be; the caller gets `not-run`. */
    public data object Unavailable : ClaimDecision

    /** The claim may have been recorded. The attempt is not dispatched, and the caller gets `unknown`. */
    public data object Uncertain : ClaimDecision
}

/** Answer of an instance that was addressed as the owner of a shard. */
public sealed interface ClaimAnswer {
    public data class Decided(val decision: ClaimDecision) : ClaimAnswer

    /** The instance does not own the shard, and nothing was claimed. [hint] is the owner that it knows of, if any. */
    public data class NotOwner(val hint: InstanceId?) : ClaimAnswer
}
