/**
 * Ownership of one shard.
 *
 * The lease prevents candidates from competing with each other; the position in the log is the fencing token. An owner
 * grants a claim only after it has written the next log entry, and that write fails once a successor has written its
 * take-over entry. An owner also stops before its lease can expire by its own monotonic clock. It checks that clock
 * before each claim, so that it detects a pause of its process.
 *
 * A take-over reads the chunks and the log entries after them, then writes a take-over entry at the next position. If
 * an entry of the former owner takes effect meanwhile, that write fails and the entry is read. An instance that was the
 * last owner of the shard keeps its state and writes the take-over entry without reading.
 */
package org.jujubelead.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimIndex
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimShard
import org.jujubelead.core.claim.ShardMessage
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Statistics of a completed take-over: the number of claims, of reads, and the times. */
public data class TakeOver(val claims: Int, val reads: Int, val started: Timestamp, val ended: Timestamp)

/** Acquires the lease of a shard and serves its claims while it holds the lease. Confined to one thread. */
internal class ShardRunner(
    private val shard: Int,
    private val self: InstanceId,
    incarnation: Incarnation,
    private val keyValue: KeyValueStore,
    private val settings: ClaimSettings,
    private val clock: ClaimClock,
    private val random: Random,
    private val isCandidate: () -> Boolean,
    private val onTakeOver: (TakeOver) -> Unit = {},
) {
    private val leaseHolder = "$self/$incarnation"
    private val leaseName = "claims/$shard"
    private var operations = 0L
    private val store = ShardStore(keyValue, shard, settings.ringSize)
    private val writer = LogWriter(self, store, settings, clock, random, ::newOperation)
    private val readPacer = Pacer(settings.minReadInterval, clock)
    private var readCount = 0

    private var term: ShardTerm? = null
    private var ownedUntil = Timestamp(Long.MIN_VALUE)

    /** The last known owner, or null if it is unknown or this instance. */
    var ownerHint: InstanceId? = null
        private set

    private fun newOperation() = OperationId("$leaseHolder/$shard/${++operations}")

    /** Answers a claim as the owner, or with a hint if this instance is not the owner. */
    suspend fun claim(request: ClaimRequest, deadline: Timestamp): ClaimAnswer {
        val current = term ?: return ClaimAnswer.NotOwner(ownerHint)
        if (clock.now() >= ownedUntil) current.close()
        return current.claim(request, deadline)
    }

    /** Competes for the shard and serves it until it is cancelled. */
    suspend fun run() {
        val backoff = Backoff(settings.initialBackoff, settings.maxBackoff, random)
        var retainedLog: ShardLog? = null
        while (true) {
            if (!isCandidate()) {
                delay(jitter(settings.renewInterval, random))
                continue
            }
            val error = extendLease().fold(success = { null }, failure = { it })
            when (error) {
                null -> {
                    backoff.reset()
                    ownerHint = null
                    retainedLog = coroutineScope { runTerm(retainedLog).also { coroutineContext.cancelChildren() } }
                }

                is KeyValueError.Conflict -> {
                    backoff.reset()
                    store.readOwner().onSuccess { (_, owner) -> ownerHint = owner?.takeIf { it != self } }
                    delay(jitter(settings.renewInterval, random))
                }

                else -> delay(backoff.next())
            }
        }
    }

    private suspend fun extendLease(): Result<Unit, KeyValueError> {
        val sentAt = clock.now()
        return keyValue.acquireLease(leaseName, leaseHolder, settings.leaseTtl).fold(
            success = {
                ownedUntil = sentAt + settings.leaseTtl - settings.leaseMargin
                Ok(Unit)
            },
            failure = { error ->
                if (error is KeyValueError.Conflict) ownedUntil = Timestamp(Long.MIN_VALUE)
                Err(error)
            },
        )
    }

    /** Runs one term. Returns the log if it is still complete at the end, otherwise null. */
    private suspend fun CoroutineScope.runTerm(retainedLog: ShardLog?): ShardLog? {
        launch { renewLease() }
        val log = recover(retainedLog) ?: return null
        val index = log.index
        val entryWritten = Channel<Unit>(Channel.CONFLATED)
        val newTerm = ShardTerm(this, ClaimShard(index, settings.limits, ::newOperation), clock) { effect ->
            writer.append(log, effect.operation, effect.claims).also { entryWritten.trySend(Unit) }
        }
        term = newTerm
        launch { writer.publishOwner() }
        launch { compact(log, entryWritten) }
        launch { closeOnLeaseExpiry(newTerm) }
        newTerm.awaitEnd()
        term = null
        if (!isCandidate()) keyValue.releaseLease(leaseName, leaseHolder)
        ownerHint = (newTerm.logInvalidatedBy as? ShardMessage.Superseded)?.owner
        return log.takeIf { newTerm.logInvalidatedBy == null }
    }

    private suspend fun renewLease() {
        val backoff = Backoff(settings.initialBackoff, settings.maxBackoff, random)
        while (true) {
            delay(jitter(settings.renewInterval, random))
            if (!isCandidate()) {
                term?.close()
                return
            }
            while (extendLease().fold(success = { false }, failure = { it !is KeyValueError.Conflict })) {
                delay(backoff.next())
            }
            backoff.reset()
        }
    }

    private suspend fun closeOnLeaseExpiry(newTerm: ShardTerm) {
        while (clock.now() < ownedUntil) {
            // A conflict can end the lease early, so the delay is bounded.
            delay(minOf(ownedUntil - clock.now(), MAX_LEASE_CHECK_INTERVAL))
        }
        newTerm.close()
    }

    private suspend fun compact(log: ShardLog, entryWritten: Channel<Unit>) {
        val backoff = Backoff(settings.initialBackoff, settings.maxBackoff, random)
        while (true) {
            entryWritten.receive()
            while (!writer.compact(log)) delay(backoff.next())
            backoff.reset()
        }
    }

    /** Brings the log up to date and writes the take-over entry. Returns null if the lease expires first. */
    private suspend fun recover(retainedLog: ShardLog?): ShardLog? {
        val started = clock.now()
        readCount = 0
        val backoff = Backoff(settings.initialBackoff, settings.maxBackoff, random)
        var log = retainedLog
        while (clock.now() < ownedUntil) {
            val current = log ?: replay().getOrElse {
                delay(backoff.next())
                null
            }
            log = current
            if (current == null) continue
            when (val outcome = writer.append(current, newOperation(), claims = emptyList())) {
                is ShardMessage.Appended -> {
                    onTakeOver(TakeOver(current.index.size, readCount, started, clock.now()))
                    return current
                }

                is ShardMessage.NotAppended -> delay(maxOf(outcome.retryAt - clock.now(), 1.milliseconds))

                // The position holds another entry, which the replay reads.
                else -> log = null
            }
        }
        return null
    }

    private suspend fun replay(): Result<ShardLog, KeyValueError> {
        val log = ShardLog(ClaimIndex(), settings)
        val ranges = pacedRead { store.chunkRanges() }.getOrElse { return Err(it) }
        for (range in ranges) {
            val chunk = pacedRead { store.readChunk(range) }.getOrElse { return Err(it) }
            chunk?.let { log.addChunk(it) }
        }
        while (true) {
            val slot = pacedRead { store.readSlot(log.nextSequence) }.getOrElse { return Err(it) }
            slot.version?.let { log.recordSlotVersion(log.nextSequence, it) }
            val entry = slot.entry
            if (entry == null || slot.version == null || entry.sequence < log.nextSequence) break
            if (entry.sequence > log.nextSequence) {
                return Err(KeyValueError.Unavailable("the log advanced during the replay"))
            }
            log.append(entry, entry.encode().size, slot.version)
        }
        log.index.expire(clock.wall())
        return Ok(log)
    }

    private suspend fun <T> pacedRead(call: suspend () -> T): T {
        readPacer.pace()
        readCount += 1
        return call()
    }

    private companion object {
        val MAX_LEASE_CHECK_INTERVAL = 500.milliseconds
    }
}
