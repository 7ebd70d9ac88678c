/** Calls between processes that distribute settings. The runtime implements them over the Peer service. */
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
    /** The peer could not be reached or did not reply. */
    public data class Unreachable(val detail: String) : SettingsPeerError
}

/** Client of the settings service of other processes. Callers enforce timeouts by cancelling calls. */
public interface SettingsPeers {
    /** Opens a stream of revisions. The flow ends when the connection is lost or could not be opened. */
    public fun subscribe(peer: InstanceRecord, request: SubscribeRequest): Flow<SettingsUpdate>

    /** Sends the revision of this process to [peer] and returns the peer's. */
    public suspend fun exchangeDigest(peer: InstanceRecord, digest: Digest): Result<Digest, SettingsPeerError>

    /** Fetches branches by id. The reply may omit branches and return them in a different order. */
    public suspend fun fetchBranches(
        peer: InstanceRecord,
        request: BranchRequest,
    ): Result<BranchReply, SettingsPeerError>
}
