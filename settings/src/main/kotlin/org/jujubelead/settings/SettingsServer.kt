/** Server side of the settings distribution. The runtime exposes it through the Peer service. */
package org.jujubelead.settings

import com.google.protobuf.ByteString
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.flow
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.BranchReply
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.SettingsNotice
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.SubscribeRequest

/** Limits the branches in one reply: gRPC accepts messages of up to 4 MB by default, and a branch has up to 1 MB. */
private const val MAX_REPLY_BYTES = 2_000_000

/**
 * Serves the settings in [current].
 *
 * @param findRetained returns the previous state with a revision, or null if it is no longer retained.
 * @param onNewerRevision is called with the id of a peer that has a higher revision.
 */
public class SettingsServer internal constructor(
    private val self: InstanceId,
    private val current: StateFlow<SettingsState?>,
    private val findRetained: (Revision) -> SettingsState?,
    private val onNewerRevision: (InstanceId) -> Unit,
) {
    /** Streams revisions above the one the subscriber has. Revisions in quick succession are conflated. */
    public fun subscribe(request: SubscribeRequest): Flow<SettingsUpdate> = flow {
        var known = Revision(request.knownRevision)
        current.filterNotNull().collect { state ->
            if (state.revision > known) {
                emit(updateFor(known, state))
                known = state.revision
            }
        }
    }

    /** Replies with the revision of this process; 0 if it has no settings yet. */
    public fun exchangeDigest(digest: Digest): Digest {
        val revision = current.value?.revision?.value ?: 0L
        if (digest.settingsRevision > revision) onNewerRevision(InstanceId(digest.instance))
        return Digest.newBuilder().setInstance(self.value).setSettingsRevision(revision).build()
    }

    /** Returns the requested branches that belong to the current revision, up to the maximum size of a reply. */
    public fun fetchBranches(request: BranchRequest): BranchReply {
        val state = current.value ?: return BranchReply.getDefaultInstance()
        val requested = request.hashesList.toSet()
        val names = state.branches.filterValues { it.id in requested }.keys
        val reply = BranchReply.newBuilder()
        var size = 0
        for (branch in branchesOf(state.snapshot.tree, names).values) {
            val bytes = branch.canonicalBytes()
            if (size > 0 && size + bytes.size > MAX_REPLY_BYTES) break
            reply.addBranches(ByteString.copyFrom(bytes))
            size += bytes.size
        }
        return reply.build()
    }

    /** Caches the last update, because nearly all subscribers of an entry need the same one. */
    @Volatile
    private var cached: Pair<Revision, SettingsUpdate>? = null

    private fun updateFor(known: Revision, state: SettingsState): SettingsUpdate {
        cached?.takeIf { it.first == known && it.second.revision == state.revision.value }?.let { return it.second }
        val notice = findRetained(known)?.let { deltaNotice(it, state) } ?: fullNotice(state)
        return notice.toUpdate().also { cached = known to it }
    }
}

internal fun SettingsNotice.toUpdate(): SettingsUpdate =
    SettingsUpdate.newBuilder().setRevision(revision).setRoot(toByteString()).build()
