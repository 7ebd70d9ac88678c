/** Asks all entries that the platform lists. Operator commands share it. */
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

private const val ANSWER_LIMIT_SECONDS = 3L
private val LOCAL = Address(host = "127.0.0.1", port = 0)

/** Where the fleet is listed, and the keys by which an operator command proves who it is. */
public data class FleetOptions(
    val directory: String,
    val keyStore: String = "",
    val trustStore: String = keyStore,
    val password: String = "",
)

/** The fleet could not be asked. */
public class FleetException(message: String) : Exception(message)

/** An entry and its answer; null when it did not answer in time. */
public class Answer<T>(public val entry: InstanceRecord, public val value: T?)

/** Asks every listed entry at once. */
public suspend fun <T> askEntries(options: FleetOptions, ask: suspend (PeerCoroutineStub) -> T): List<Answer<T>> {
    val entries = HttpInstanceDirectory(options.directory).use { directory ->
        directory.snapshot().getOrElse { throw FleetException("the instance list could not be read: $it") }
    }.filter { it.role == InstanceRole.ENTRY }
    val tls = TlsSettings.newBuilder()
        .setKeyStore(options.keyStore)
        .setTrustStore(options.trustStore)
        .setPassword(options.password)
        .build()
    return Transport.create(tls, LOCAL).getOrElse { throw FleetException("keys: $it") }.use { transport ->
        coroutineScope {
            entries.map { entry -> async { Answer(entry, askOne(transport, entry, ask)) } }.awaitAll()
        }
    }
}

private suspend fun <T> askOne(
    transport: Transport,
    entry: InstanceRecord,
    ask: suspend (PeerCoroutineStub) -> T,
): T? {
    val channel = transport.channel(Address(host = entry.host, port = entry.port))
    return try {
        ask(PeerCoroutineStub(channel).withDeadlineAfter(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS))
    } catch (_: StatusException) {
        null
    } finally {
        channel.shutdownNow()
    }
}
