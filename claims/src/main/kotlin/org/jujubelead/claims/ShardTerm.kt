/** One term of an owner: runs a [ClaimShard], its timer and its writes. */
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

/** The term. All calls come from the thread of [scope]. */
internal class ShardTerm(
    private val scope: CoroutineScope,
    private val shard: ClaimShard,
    private val clock: ClaimClock,
    private val append: suspend (ShardEffect.Append) -> ShardMessage,
) {
    private val tickets = HashMap<Ticket, CompletableDeferred<ClaimAnswer>>()
    private val ended = CompletableDeferred<Unit>()
    private var lastTicket = 0L
    private var timer: Job? = null
    private var timerAt = Timestamp(Long.MAX_VALUE)

    /** Why the term ended, when the log went on without this instance. */
    var lostLog: ShardMessage? = null
        private set

    suspend fun ask(request: ClaimRequest, giveUpAt: Timestamp): ClaimAnswer {
        val ticket = Ticket(++lastTicket)
        val answer = CompletableDeferred<ClaimAnswer>()
        tickets[ticket] = answer
        handle(ShardMessage.Ask(ticket, request, giveUpAt))
        return answer.await()
    }

    fun close() = handle(ShardMessage.Close(hint = null))

    /** Waits until the term is closed and its last entry is settled. */
    suspend fun awaitEnd() = ended.await()

    private fun handle(message: ShardMessage) {
        if (message is ShardMessage.Superseded || message is ShardMessage.OutcomeUnknown) lostLog = message
        for (effect in shard.handle(message, clock.now(), clock.wall())) {
            when (effect) {
                is ShardEffect.Answer -> tickets.remove(effect.ticket)?.complete(effect.answer)
                is ShardEffect.Append -> scope.launch { handle(append(effect)) }
            }
        }
        if (shard.isClosed && !shard.isWriting) ended.complete(Unit)
        armTimer()
    }

    private fun armTimer() {
        val at = shard.wakeAt() ?: return
        if (timer?.isActive == true && timerAt <= at) return
        timer?.cancel()
        timerAt = at
        timer = scope.launch {
            delay(at - clock.now())
            timer = null
            handle(ShardMessage.Wake)
        }
    }
}
