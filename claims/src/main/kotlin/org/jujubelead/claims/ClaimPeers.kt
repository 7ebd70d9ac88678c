/** Calls to the owners of other shards. The runtime implements them. */
package org.jujubelead.claims

import com.github.michaelbull.result.Result
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import kotlin.time.Duration

/** Why a call to a peer has no answer. */
public sealed interface PeerError {
    /** The request did not leave this process, or the peer refused it before it handled it. */
    public data class NotSent(val detail: String) : PeerError

    /** The request was sent; the peer may have handled it, or may still. */
    public data class Lost(val detail: String) : PeerError
}

/** Client of [ClaimService.answer] on other entries. */
public interface ClaimPeers {
    /** Asks [peer] as the owner of [shard]. Ends within [timeout]. */
    public suspend fun claim(
        peer: InstanceId,
        shard: Int,
        request: ClaimRequest,
        timeout: Duration,
    ): Result<ClaimAnswer, PeerError>
}

/** An entry that may own shards, as this instance sees the fleet. */
public data class ClaimMember(val id: InstanceId, val zone: ZoneId)
