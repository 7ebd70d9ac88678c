/** Queries all entries in the platform's instance list; shared by the operator commands. */
package org.jujubelead.cli.fleet

import com.github.michaelbull.result.getOrElse
import io.grpc.StatusException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.platform.HttpInstanceDirectory
import org.jujubelead.protocol.PeerGrpcKt.PeerCoroutineStub
import org.jujubelead.protocol.TlsSettings
import org.jujubelead.runtime.rpc.Address
import org.jujubelead.runtime.rpc.Transport
import java.util.concurrent.TimeUnit

private const val CALL_TIMEOUT_SECONDS = 3L
private val LOCAL = Address(host = "127.0.0.1", port = 0)

/** URL of the instance list, and the keys that authenticate the operator. */
public data class FleetOptions(
    val directory: String,
    val keyStore: String = "",
    val trustStore: String = keyStore,
    val password: String = "",
)

/** The entries could not be queried. */
public class FleetException(message: String) : Exception(message)

/** An entry and its reply; [value] is null if the entry did not reply before the deadline. */
public class EntryReply<T>(public val entry: InstanceRecord, public val value: T?)

/** Queries all listed entries concurrently. */
public suspend fun <T> queryEntries(
    options: FleetOptions,
    query: suspend (PeerCoroutineStub) -> T,
): List<EntryReply<T>> {
    val entries = HttpInstanceDirectory(options.directory).use { directory ->
        directory.snapshot().getOrElse { throw FleetException("cannot read the instance list: $it") }
    }.filter { it.role == InstanceRole.ENTRY }
    val tls = TlsSettings.newBuilder()
        .setKeyStore(options.keyStore)
        .setTrustStore(options.trustStore)
        .setPassword(options.password)
        .build()
    return Transport.create(tls, LOCAL).getOrElse { throw FleetException("cannot load keys: $it") }.use { transport ->
        coroutineScope {
            entries.map { entry -> async { EntryReply(entry, queryEntry(transport, entry, query)) } }.awaitAll()
        }
    }
}

private suspend fun <T> queryEntry(
    transport: Transport,
    entry: InstanceRecord,
    query: suspend (PeerCoroutineStub) -> T,
): T? {
    val channel = transport.channel(Address(host = entry.host, port = entry.port))
    return try {
        query(PeerCoroutineStub(channel).withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS))
    } catch (_: StatusException) {
        null
    } finally {
        channel.shutdownNow()
    }
}
