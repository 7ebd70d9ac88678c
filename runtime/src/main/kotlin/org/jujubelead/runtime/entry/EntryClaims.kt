/** The claim service of an entry and its gRPC calls to other entries. */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.grpc.Status
import io.grpc.StatusException
import org.jujubelead.claims.ClaimClock
import org.jujubelead.claims.ClaimMember
import org.jujubelead.claims.ClaimPeers
import org.jujubelead.claims.ClaimService
import org.jujubelead.claims.ClaimSettings
import org.jujubelead.claims.PeerError
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.process.ControlThread
import org.jujubelead.runtime.process.ProcessContext
import org.jujubelead.runtime.rpc.PeerChannels
import org.jujubelead.runtime.rpc.address
import org.jujubelead.runtime.rpc.isConnectFailure
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Sends claims to the owners of other shards. [entries] returns the live entries of the latest instance list. */
internal class GrpcClaimPeers(
    private val channels: PeerChannels,
    private val entries: () -> List<InstanceRecord>,
) : ClaimPeers {
    override suspend fun claim(
        peer: InstanceId,
        shard: Int,
        request: ClaimRequest,
        timeout: Duration,
    ): Result<ClaimAnswer, PeerError> {
        val record = entries().find { it.id == peer } ?: return Err(PeerError.NotSent("$peer is not listed"))
        val timeoutMillis = timeout.inWholeMilliseconds.coerceAtLeast(1)
        return channels.call(record.address(), timeoutMillis) { it.claim(request.toMessage(shard)) }.fold(
            success = { reply -> reply.toAnswer()?.let { Ok(it) } ?: Err(PeerError.Lost("malformed answer")) },
            failure = { Err(it.toPeerError()) },
        )
    }
}

private fun StatusException.toPeerError(): PeerError = when {
    isConnectFailure() -> PeerError.NotSent(message.orEmpty())

    // The peer validates the message before it acts on it.
    status.code == Status.Code.INVALID_ARGUMENT -> PeerError.NotSent(message.orEmpty())

    else -> PeerError.Lost(message.orEmpty())
}

private class ProcessClock(private val control: ControlThread) : ClaimClock {
    override fun now(): Timestamp = control.now()

    override fun wall(): Instant = Clock.System.now()
}

internal fun List<InstanceRecord>.liveEntries(): List<InstanceRecord> =
    filter { it.role == InstanceRole.ENTRY && it.state == InstanceState.LIVE }

/** Creates the claim service of this entry. */
internal fun ProcessContext.claimService(incarnation: Incarnation): ClaimService {
    val entries = { instances.records.value.liveEntries() }
    return ClaimService(
        self = instance,
        incarnation = incarnation,
        store = keyValue,
        peers = GrpcClaimPeers(channels = peers, entries = entries),
        members = { entries().map { ClaimMember(id = it.id, zone = it.zone) } },
        settings = ClaimSettings(),
        clock = ProcessClock(control),
        random = Random.Default,
        context = control.dispatcher,
    )
}
