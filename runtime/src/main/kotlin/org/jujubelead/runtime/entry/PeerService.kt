/** gRPC service of an entry for other entries, agents and operator tools. */
package org.jujubelead.runtime.entry

import com.google.protobuf.ByteString
import io.grpc.Context
import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.flow.Flow
import org.jujubelead.claims.ClaimService
import org.jujubelead.core.ids.RequestId
import org.jujubelead.protocol.BranchReply
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.BurnWindow
import org.jujubelead.protocol.ClaimReply
import org.jujubelead.protocol.ClaimRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.ExplainReply
import org.jujubelead.protocol.ExplainRequest
import org.jujubelead.protocol.PeerGrpcKt
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.StatusReply
import org.jujubelead.protocol.StatusRequest
import org.jujubelead.protocol.SubscribeRequest
import org.jujubelead.protocol.TargetStatus
import org.jujubelead.settings.SettingsServer
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Timeout of a claim without a gRPC deadline. */
private val CLAIM_TIMEOUT: Duration = 1.seconds

/** Windows of the burn report: the short one shows current failures, the long one their total. */
private val BURN_WINDOWS: List<Duration> = listOf(5.minutes, 1.hours)

/** Distributes settings, handles claims, and reports the state of this entry. */
internal class PeerService(
    private val entry: EntryServices,
    private val settings: SettingsServer,
    private val claims: ClaimService,
) : PeerGrpcKt.PeerCoroutineImplBase() {
    private val state = entry.state

    override fun subscribeSettings(request: SubscribeRequest): Flow<SettingsUpdate> = settings.subscribe(request)

    override suspend fun exchangeDigest(request: Digest): Digest = settings.exchangeDigest(request)

    override suspend fun fetchBranches(request: BranchRequest): BranchReply = settings.fetchBranches(request)

    override suspend fun claim(request: ClaimRequest): ClaimReply {
        val claim = request.toRequest()
            ?: throw StatusException(Status.INVALID_ARGUMENT.withDescription("the claim is malformed"))
        val timeLeft = Context.current().deadline?.timeRemaining(TimeUnit.MILLISECONDS)?.milliseconds ?: CLAIM_TIMEOUT
        return claims.answer(request.shard, claim, timeLeft).toMessage()
    }

    override suspend fun explain(request: ExplainRequest): ExplainReply {
        val text = entry.traces.explain(RequestId(request.requestId))
        return ExplainReply.newBuilder().setFound(text != null).setText(text.orEmpty()).build()
    }

    override suspend fun status(request: StatusRequest): StatusReply = state.control.run { now ->
        val view = state.view
        StatusReply.newBuilder()
            .setInstance(state.instance.value)
            .setZone(state.zone.value)
            .setRole("entry")
            .setSettingsRevision(state.settings?.revision?.value ?: 0)
            .setDraining(state.draining)
            .setInFlight(entry.inProgress)
            .addAllTargets(
                view.known.map { target ->
                    val usable = view.candidates(target.set, now).any { it.key == target.key }
                    val ejected = target.key in view.ejected(target.set)
                    TargetStatus.newBuilder()
                        .setInstance(target.key.instance.value)
                        .setZone(target.zone.value)
                        .setState(
                            if (usable) {
                                "in use"
                            } else if (ejected) {
                                "ejected"
                            } else {
                                "leaving"
                            },
                        )
                        .setInFlight(state.loads.load(target.key)?.inFlight ?: 0)
                        .build()
                },
            )
            .addAllBurn(burn())
            .build()
    }

    private fun burn(): List<BurnWindow> = entry.burn.workspaces().flatMap { workspace ->
        BURN_WINDOWS.map { window ->
            val sum = entry.burn.sum(workspace, window)
            val buffer = ByteBuffer.allocate(sum.latency.neededByteBufferCapacity)
            val length = sum.latency.encodeIntoCompressedByteBuffer(buffer)
            BurnWindow.newBuilder()
                .setWorkspace(workspace.value)
                .setWindowS(window.inWholeSeconds.toInt())
                .setTotal(sum.total)
                .setLate(sum.late)
                .setFailed(sum.failed)
                .setHistogram(ByteString.copyFrom(buffer.array(), 0, length))
                .build()
        }
    }
}
