/** One term of ownership of a shard. */
package org.jujubelead.claims

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimShard
import org.jujubelead.core.claim.ShardEffect
import org.jujubelead.core.claim.ShardMessage
import org.jujubelead.core.claim.Ticket
import org.jujubelead.core.time.Timestamp

/** Runs a [ClaimShard] with its timer and its log writes. Confined to the thread of [scope]. */
internal class ShardTerm(
    private val scope: CoroutineScope,
    private val shard: ClaimShard,
    private val clock: ClaimClock,
    private val append: suspend (ShardEffect.Append) -> ShardMessage,
) {
    private val pendingAnswers = HashMap<Ticket, CompletableDeferred<ClaimAnswer>>()
    private val ended = CompletableDeferred<Unit>()
    private var lastTicket = 0L
    private var timer: Job? = null
    private var timerDueAt = Timestamp(Long.MAX_VALUE)

    /** The message that made the known log invalid, or null while the log is valid. */
    var logInvalidatedBy: ShardMessage? = null
        private set

    suspend fun claim(request: ClaimRequest, deadline: Timestamp): ClaimAnswer {
        val ticket = Ticket(++lastTicket)
        val answer = CompletableDeferred<ClaimAnswer>()
        pendingAnswers[ticket] = answer
        handle(ShardMessage.Ask(ticket, request, deadline))
        return answer.await()
    }

    fun close() = handle(ShardMessage.Close(hint = null))

    /** Waits until the term is closed and the outcome of its last entry is known. */
    suspend fun awaitEnd() = ended.await()

    private fun handle(message: ShardMessage) {
        if (message is ShardMessage.Superseded || message is ShardMessage.OutcomeUnknown) logInvalidatedBy = message
        for (effect in shard.handle(message, clock.now(), clock.wall())) {
            when (effect) {
                is ShardEffect.Answer -> pendingAnswers.remove(effect.ticket)?.complete(effect.answer)
                is ShardEffect.Append -> scope.launch { handle(append(effect)) }
            }
        }
        if (shard.isClosed && !shard.isWriting) ended.complete(Unit)
        scheduleWake()
    }

    private fun scheduleWake() {
        val at = shard.wakeAt() ?: return
        if (timer?.isActive == true && timerDueAt <= at) return
        timer?.cancel()
        timerDueAt = at
        timer = scope.launch {
            delay(at - clock.now())
            timer = null
            handle(ShardMessage.Wake)
        }
    }
}
