/** What a process answers about its settings. The runtime puts it behind the Peer service. */
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

/** Bytes of branches in one reply; gRPC takes messages of up to 4 MB by default and a branch has up to 1 MB. */
private const val MAX_REPLY_BYTES = 2_000_000

/**
 * Serves the settings in [current].
 *
 * @param earlier returns a state that was held before, when it is still known.
 * @param onNewer is told about peers with a higher revision.
 */
public class SettingsServer internal constructor(
    private val self: InstanceId,
    private val current: StateFlow<SettingsState?>,
    private val earlier: (Revision) -> SettingsState?,
    private val onNewer: (InstanceId) -> Unit,
) {
    /** Streams the revisions above the one known to the subscriber. Revisions that follow quickly are joined. */
    public fun subscribe(request: SubscribeRequest): Flow<SettingsUpdate> = flow {
        var known = Revision(request.knownRevision)
        current.filterNotNull().collect { state ->
            if (state.revision > known) {
                emit(updateFor(known, state))
                known = state.revision
            }
        }
    }

    /** Answers a digest with the own revision; 0 before the first settings. */
    public fun exchangeDigest(digest: Digest): Digest {
        val revision = current.value?.revision?.value ?: 0L
        if (digest.settingsRevision > revision) onNewer(InstanceId(digest.instance))
        return Digest.newBuilder().setInstance(self.value).setSettingsRevision(revision).build()
    }

    /** Returns those of the requested branches that belong to the current revision, as many as fit into a reply. */
    public fun fetchBranches(request: BranchRequest): BranchReply {
        val state = current.value ?: return BranchReply.getDefaultInstance()
        val wanted = request.hashesList.toSet()
        val names = state.branches.filterValues { it.id in wanted }.keys
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

    /** The last update that was made; the subscribers of an entry nearly always need the same one. */
    @Volatile
    private var latest: Pair<Revision, SettingsUpdate>? = null

    private fun updateFor(known: Revision, state: SettingsState): SettingsUpdate {
        latest?.takeIf { it.first == known && it.second.revision == state.revision.value }?.let { return it.second }
        val notice = earlier(known)?.let { changeNotice(it, state) } ?: fullNotice(state)
        return notice.toUpdate().also { latest = known to it }
    }
}

internal fun SettingsNotice.toUpdate(): SettingsUpdate =
    SettingsUpdate.newBuilder().setRevision(revision).setRoot(toByteString()).build()
