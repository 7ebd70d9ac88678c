/**
 * Client of [KeyValueService] in the same process with injected faults, for tests in virtual time.
 *
 * Latency uses `delay`, so that a test scheduler controls it. Each client has its own random source for faults.
 */
package org.jujubelead.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.LeaseGrant
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Faults of the connection between one client and the service. Properties can be changed while the client is in use.
 *
 * @property reachable false while the service or the connection to it is down.
 * @property lostAnswers probability that the response to a write that took effect is lost.
 * @property lateWrites probability that a write returns [KeyValueError.OutcomeUnknown] and takes effect
 *   [lateWriteDelay] later.
 */
public class KeyValueFaults(
    @Volatile public var reachable: Boolean = true,
    @Volatile public var latency: Duration = 2.milliseconds,
    @Volatile public var lostAnswers: Double = 0.0,
    @Volatile public var lateWrites: Double = 0.0,
    @Volatile public var lateWriteDelay: Duration = 500.milliseconds,
)

/** The client. [nowMillis] must follow the same clock as `delay`; [runLater] executes late writes. */
public class InMemoryKeyValueStore(
    private val service: KeyValueService,
    private val nowMillis: () -> Long,
    public val faults: KeyValueFaults = KeyValueFaults(),
    private val random: Random = Random(1),
    private val runLater: (Duration, () -> Unit) -> Unit = { _, action -> action() },
) : KeyValueStore {
    override suspend fun get(key: String): Result<VersionedValue?, KeyValueError> = read { service.read(key) }

    override suspend fun list(prefix: String): Result<List<String>, KeyValueError> = read { service.keys(prefix) }

    override suspend fun compareAndSet(
        key: String,
        expected: Version?,
        value: ByteArray,
        operation: OperationId,
    ): Result<Version, KeyValueError> {
        val write = { service.write(key, expected, value, operation, nowMillis()) }
        return mutate(write) { reply ->
            when (reply) {
                is WriteReply.Written -> Ok(reply.version)
                is WriteReply.Conflict -> Err(KeyValueError.Conflict(reply.current))
                WriteReply.Limited -> Err(KeyValueError.RateLimited)
                WriteReply.TooLarge -> Err(KeyValueError.Unavailable("the value is larger than 1 MB"))
            }
        }
    }

    override suspend fun delete(key: String): Result<Unit, KeyValueError> =
        mutate({ service.delete(key, nowMillis()) }) { if (it) Ok(Unit) else Err(KeyValueError.RateLimited) }

    override suspend fun watch(key: String, after: Version?, wait: Duration): Result<VersionedValue?, KeyValueError> {
        if (!faults.reachable) return unreachable()
        if (!service.admitRead(nowMillis())) return Err(KeyValueError.RateLimited)
        val changed = CompletableDeferred<VersionedValue>()
        val checkForChange = {
            service.read(key)?.takeIf { after == null || it.version > after }?.let { changed.complete(it) }
        }
        val value = service.listen { if (it == key) checkForChange() }.use {
            checkForChange()
            withTimeoutOrNull(wait) { changed.await() }
        }
        delay(faults.latency)
        return if (faults.reachable) Ok(value) else unreachable()
    }

    override suspend fun acquireLease(name: String, holder: String, ttl: Duration): Result<LeaseGrant, KeyValueError> =
        mutate({ service.acquireLease(name, holder, ttl.inWholeMilliseconds, nowMillis()) }) { reply ->
            when (reply) {
                is LeaseReply.Granted -> Ok(reply.grant)
                is LeaseReply.Held -> Err(KeyValueError.Conflict(current = null))
                LeaseReply.Limited -> Err(KeyValueError.RateLimited)
            }
        }

    override suspend fun releaseLease(name: String, holder: String): Result<Unit, KeyValueError> =
        mutate({ service.releaseLease(name, holder, nowMillis()) }) {
            if (it) Ok(Unit) else Err(KeyValueError.RateLimited)
        }

    private suspend fun <T> read(body: () -> T): Result<T, KeyValueError> {
        delay(faults.latency)
        if (!faults.reachable) return unreachable()
        if (!service.admitRead(nowMillis())) return Err(KeyValueError.RateLimited)
        return Ok(body())
    }

    private suspend fun <R, T> mutate(
        write: () -> R,
        convert: (R) -> Result<T, KeyValueError>,
    ): Result<T, KeyValueError> {
        delay(faults.latency)
        if (!faults.reachable) return unreachable()
        if (random.nextDouble() < faults.lateWrites) {
            runLater(faults.lateWriteDelay) { write() }
            return Err(KeyValueError.OutcomeUnknown("timeout"))
        }
        val reply = write()
        delay(faults.latency)
        val lost = !faults.reachable || random.nextDouble() < faults.lostAnswers
        return if (lost) Err(KeyValueError.OutcomeUnknown("the response was lost")) else convert(reply)
    }

    private fun unreachable() = Err(KeyValueError.Unavailable("the key-value service cannot be reached"))
}
