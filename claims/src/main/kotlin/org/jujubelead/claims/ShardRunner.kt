/**
 * Ownership of one shard.
 *
 * The lease keeps candidates from working against each other; the position in the log is the fence. An owner grants a
 * claim only after it wrote the next entry, which fails once a successor has written its take-over entry. An owner
 * also stops by its own monotonic clock before its lease can lapse, and looks at that clock before each claim, so that
 * it notices a pause of its process.
 *
 * Take-over: read the chunks, then the entries after them, then write a take-over entry at the next position. An entry
 * of the former owner that takes effect meanwhile makes that write fail and is read. An instance that owned the shard
 * last keeps its state and writes the take-over entry without reading.
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

/** How a take-over went. */
public data class TakeOver(val claims: Int, val reads: Int, val started: Timestamp, val ended: Timestamp)

/** The runner. All calls come from one thread. */
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
    private val holder = "$self/$incarnation"
    private val leaseName = "claims/$shard"
    private var operations = 0L
    private val store = ShardStore(keyValue, shard, settings.ringSize)
    private val writer = LogWriter(self, store, settings, clock, random, ::newOperation)
    private val reads = Pacer(settings.readSpacing, clock)
    private var readCount = 0

    private var term: ShardTerm? = null
    private var ownUntil = Timestamp(Long.MIN_VALUE)

    /** The last known owner, when it is another instance. */
    var ownerHint: InstanceId? = null
        private set

    private fun newOperation() = OperationId("$holder/$shard/${++operations}")

    /** Answers a claim as the owner. */
    suspend fun ask(request: ClaimRequest, giveUpAt: Timestamp): ClaimAnswer {
        val current = term ?: return ClaimAnswer.NotOwner(ownerHint)
        if (clock.now() >= ownUntil) current.close()
        return current.ask(request, giveUpAt)
    }

    /** Owns the shard whenever it can. Does not return. */
    suspend fun run() {
        val backoff = Backoff(settings.firstBackoff, settings.maxBackoff, random)
        var kept: ShardLog? = null
        while (true) {
            if (!isCandidate()) {
                delay(jitter(settings.renewEvery, random))
                continue
            }
            val error = extendLease().fold(success = { null }, failure = { it })
            when (error) {
                null -> {
                    backoff.reset()
                    ownerHint = null
                    kept = coroutineScope { runTerm(kept).also { coroutineContext.cancelChildren() } }
                }

                is KeyValueError.Conflict -> {
                    backoff.reset()
                    store.readOwner().onSuccess { (_, owner) -> ownerHint = owner?.takeIf { it != self } }
                    delay(jitter(settings.renewEvery, random))
                }

                else -> delay(backoff.next())
            }
        }
    }

    private suspend fun extendLease(): Result<Unit, KeyValueError> {
        val sentAt = clock.now()
        return keyValue.acquireLease(leaseName, holder, settings.leaseTtl).fold(
            success = {
                ownUntil = sentAt + settings.leaseTtl - settings.leaseMargin
                Ok(Unit)
            },
            failure = { error ->
                if (error is KeyValueError.Conflict) ownUntil = Timestamp(Long.MIN_VALUE)
                Err(error)
            },
        )
    }

    /** Runs one term and returns the log when it is still complete at the end. */
    private suspend fun CoroutineScope.runTerm(kept: ShardLog?): ShardLog? {
        launch { renewLease() }
        val log = recover(kept) ?: return null
        val index = log.index
        val written = Channel<Unit>(Channel.CONFLATED)
        val opened = ShardTerm(this, ClaimShard(index, settings.limits, ::newOperation), clock) { effect ->
            writer.append(log, effect.operation, effect.claims).also { written.trySend(Unit) }
        }
        term = opened
        launch { writer.publishOwner() }
        launch { compact(log, written) }
        launch { closeAtLapse(opened) }
        opened.awaitEnd()
        term = null
        if (!isCandidate()) keyValue.releaseLease(leaseName, holder)
        ownerHint = (opened.lostLog as? ShardMessage.Superseded)?.owner
        return log.takeIf { opened.lostLog == null }
    }

    private suspend fun renewLease() {
        val backoff = Backoff(settings.firstBackoff, settings.maxBackoff, random)
        while (true) {
            delay(jitter(settings.renewEvery, random))
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

    private suspend fun closeAtLapse(opened: ShardTerm) {
        while (clock.now() < ownUntil) {
            // The lease can end early, by a conflict, so the pause is bounded.
            delay(minOf(ownUntil - clock.now(), LAPSE_CHECK))
        }
        opened.close()
    }

    private suspend fun compact(log: ShardLog, written: Channel<Unit>) {
        val backoff = Backoff(settings.firstBackoff, settings.maxBackoff, random)
        while (true) {
            written.receive()
            while (!writer.compact(log)) delay(backoff.next())
            backoff.reset()
        }
    }

    /** Brings the log up to date and writes the take-over entry; null when the lease lapsed before. */
    private suspend fun recover(kept: ShardLog?): ShardLog? {
        val started = clock.now()
        readCount = 0
        val backoff = Backoff(settings.firstBackoff, settings.maxBackoff, random)
        var log = kept
        while (clock.now() < ownUntil) {
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

                // Another entry stands there. A replay reads it.
                else -> log = null
            }
        }
        return null
    }

    private suspend fun replay(): Result<ShardLog, KeyValueError> {
        val log = ShardLog(ClaimIndex(), settings)
        val ranges = read { store.chunkRanges() }.getOrElse { return Err(it) }
        for (range in ranges) {
            val chunk = read { store.readChunk(range) }.getOrElse { return Err(it) }
            chunk?.let { log.addChunk(it) }
        }
        while (true) {
            val slot = read { store.readSlot(log.next) }.getOrElse { return Err(it) }
            slot.version?.let { log.learnSlot(log.next, it) }
            val entry = slot.entry
            if (entry == null || slot.version == null || entry.sequence < log.next) break
            if (entry.sequence > log.next) {
                return Err(KeyValueError.Unavailable("the log went on during the replay"))
            }
            log.append(entry, entry.encode().size, slot.version)
        }
        log.index.expire(clock.wall())
        return Ok(log)
    }

    private suspend fun <T> read(call: suspend () -> T): T {
        reads.pace()
        readCount += 1
        return call()
    }

    private companion object {
        val LAPSE_CHECK = 500.milliseconds
    }
}
