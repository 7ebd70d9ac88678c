/** Calls to instances that may own a shard. The runtime module implements them. */
package org.jujubelead.claims

import com.github.michaelbull.result.Result
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import kotlin.time.Duration

/** Reason why a call to a peer returned no answer. */
public sealed interface PeerError {
    /** The request was not sent, or the peer refused it before processing it. */
    public data class NotSent(val detail: String) : PeerError

    /** The request was sent but no answer arrived. The peer may have processed it, or may still do so. */
    public data class Lost(val detail: String) : PeerError
}

/** Client of [ClaimService.answer] on other instances. */
public interface ClaimPeers {
    /** Sends a claim to [peer] as the presumed owner of [shard]. Returns within [timeout]. */
    public suspend fun claim(
        peer: InstanceId,
        shard: Int,
        request: ClaimRequest,
        timeout: Duration,
    ): Result<ClaimAnswer, PeerError>
}

/** An instance that may own shards, from the current view of the live instances. */
public data class ClaimMember(val id: InstanceId, val zone: ZoneId)
