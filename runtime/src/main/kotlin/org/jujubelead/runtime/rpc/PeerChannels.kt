/**
 * Connections to entries, from other entries and from agents.
 *
 * A connection is closed when a call on it fails or times out, because an established connection can stop delivering
 * data while new connections work.
 */
package org.jujubelead.runtime.rpc

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import io.grpc.ManagedChannel
import io.grpc.StatusException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.onCompletion
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.protocol.BranchReply
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.PeerGrpcKt.PeerCoroutineStub
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.SubscribeRequest
import org.jujubelead.settings.SettingsPeerError
import org.jujubelead.settings.SettingsPeers
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val CALL_TIMEOUT_MILLIS = 1_000L

/** Thread-safe pool with one connection per entry. */
public class PeerChannels(private val transport: Transport) : SettingsPeers, AutoCloseable {
    private val channels = ConcurrentHashMap<Address, ManagedChannel>()

    /** Calls [peer] with a timeout. */
    public suspend fun <T> call(
        peer: Address,
        timeoutMillis: Long = CALL_TIMEOUT_MILLIS,
        call: suspend (PeerCoroutineStub) -> T,
    ): Result<T, StatusException> {
        val channel = channel(peer)
        return try {
            Ok(call(PeerCoroutineStub(channel).withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)))
        } catch (e: StatusException) {
            discard(peer, channel)
            Err(e)
        }
    }

    override fun subscribe(peer: InstanceRecord, request: SubscribeRequest): Flow<SettingsUpdate> {
        val address = peer.address()
        val channel = channel(address)
        return PeerCoroutineStub(channel).subscribeSettings(request)
            .onCompletion { cause -> if (cause is StatusException) discard(address, channel) }
            .catch { cause -> if (cause !is StatusException) throw cause }
    }

    override suspend fun exchangeDigest(peer: InstanceRecord, digest: Digest): Result<Digest, SettingsPeerError> =
        call(peer.address()) { it.exchangeDigest(digest) }.toSettingsResult()

    override suspend fun fetchBranches(
        peer: InstanceRecord,
        request: BranchRequest,
    ): Result<BranchReply, SettingsPeerError> = call(peer.address()) { it.fetchBranches(request) }.toSettingsResult()

    /** Closes the connections to addresses that are not in [known]. */
    public fun retain(known: Set<Address>) {
        channels.keys.filter { it !in known }.forEach { channels.remove(it)?.shutdown() }
    }

    override fun close(): Unit = channels.values.forEach { it.shutdownNow() }

    private fun channel(address: Address): ManagedChannel =
        channels.computeIfAbsent(address) { transport.channel(it) }

    private fun discard(address: Address, channel: ManagedChannel) {
        if (channels.remove(address, channel)) channel.shutdown()
    }
}

private fun <T> Result<T, StatusException>.toSettingsResult(): Result<T, SettingsPeerError> =
    mapError { SettingsPeerError.Unreachable(it.message.orEmpty()) }

/** Address of the gRPC server of an instance. */
public fun InstanceRecord.address(): Address = Address(host = host, port = port)
