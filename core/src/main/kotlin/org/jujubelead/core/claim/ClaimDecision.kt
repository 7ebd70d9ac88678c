/** What an entry does after it asked for a key. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.InstanceId

/** Decision for an entry. */
public sealed interface ClaimDecision {
    /** The key belongs to [permit]. The entry dispatches it once, to the process and with the tick it names. */
    public data class Granted(val permit: ClaimedAttempt) : ClaimDecision

    /** The key belongs to another attempt; its agent is asked about it. */
    public data class Held(val holder: ClaimedAttempt) : ClaimDecision

    /** The key was used for another request (422). */
    public data object Mismatch : ClaimDecision

    /** Nothing was claimed and nothing will be: the answer is `not-run`. */
    public data object Unavailable : ClaimDecision

    /** The claim may have been recorded: it is not dispatched, and the answer is `unknown`. */
    public data object Uncertain : ClaimDecision
}

/** Answer of an instance that was asked as the owner of a shard. */
public sealed interface ClaimAnswer {
    public data class Decided(val decision: ClaimDecision) : ClaimAnswer

    /** This instance does not own the shard; nothing was claimed. [hint] is the owner it knows of. */
    public data class NotOwner(val hint: InstanceId?) : ClaimAnswer
}
