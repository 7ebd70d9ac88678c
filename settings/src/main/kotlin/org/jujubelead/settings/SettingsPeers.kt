/** Calls between processes for the distribution of settings. The runtime implements them over the Peer service. */
package org.jujubelead.settings

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.protocol.BranchReply
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.SubscribeRequest

/** Errors of [SettingsPeers]. */
public sealed interface SettingsPeerError {
    /** The peer was not reached, or did not answer. */
    public data class Unreachable(val detail: String) : SettingsPeerError
}

/** Client side. Calls are cancelled by their caller when they take too long. */
public interface SettingsPeers {
    /** Opens a stream of revisions. The flow ends when the connection is lost or could not be opened. */
    public fun subscribe(peer: InstanceRecord, request: SubscribeRequest): Flow<SettingsUpdate>

    /** Tells [peer] the own revision, and returns the peer's. */
    public suspend fun exchangeDigest(peer: InstanceRecord, digest: Digest): Result<Digest, SettingsPeerError>

    /** Reads branches by id. The reply can be shorter than the request, and in another order. */
    public suspend fun fetchBranches(
        peer: InstanceRecord,
        request: BranchRequest,
    ): Result<BranchReply, SettingsPeerError>
}
