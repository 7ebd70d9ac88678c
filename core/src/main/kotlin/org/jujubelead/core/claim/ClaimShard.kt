/**
 * Decisions of the owner of one shard of the claim log.
 *
 * Group commit: one entry is in flight, and all claims that arrive meanwhile go into the next. A claim is granted only
 * after its entry was written. Answers:
 * - Granted: the entry with the claim is in the log.
 * - Held, Mismatch: the log has another claim for the key.
 * - Unavailable, NotOwner: the claim was never part of a write that took effect or can.
 * - Uncertain: the claim, or another one for the same key, is part of a write whose outcome is not known in time.
 *
 * The shard belongs to one thread. It holds no clock and calls nothing: each message gives a list of effects.
 */
package org.jujubelead.core.claim

import org.jujubelead.core.claim.ClaimAnswer.Decided
import org.jujubelead.core.claim.ClaimAnswer.NotOwner
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Bounds of a shard.
 *
 * @property writeSpacing shortest time between two entries.
 * @property maxBatch claims in one entry; at 300 bytes a claim, the most that ids of bounded length allow, an entry
 *   stays below 1 MB.
 * @property maxWaiting claims that wait for a write; more are refused.
 * @property maxClaims claims kept; more are refused, as none may be dropped early. At 273 bytes a claim, three shards
 *   of one process take 24 MB of its heap of 48 MB.
 */
public data class ShardLimits(
    val writeSpacing: Duration = 50.milliseconds,
    val maxBatch: Int = 3_000,
    val maxWaiting: Int = 20_000,
    val maxClaims: Int = 30_000,
)

/** The owner's state. [newOperation] gives a different id at each call. */
public class ClaimShard(
    private val index: ClaimIndex,
    private val limits: ShardLimits = ShardLimits(),
    private val newOperation: () -> OperationId,
) {
    /** A claim that is not in the log yet, with the tickets that ask for it and for its key. */
    private class Pending(val claim: Claim, var deadline: Timestamp) {
        val askers = ArrayList<Waiter>()
        val others = ArrayList<Waiter>()
        var inFlight = false

        fun firstGiveUp(): Timestamp = (askers + others).minOfOrNull { it.deadline } ?: NEVER
    }

    private class Waiter(val ticket: Ticket, val request: ClaimRequest, val deadline: Timestamp)

    private class Batch(val operation: OperationId, val members: List<Pending>)

    private val pending = LinkedHashMap<ClaimKey, Pending>()
    private val queue = LinkedHashSet<Pending>()
    private var batch: Batch? = null
    private var nextWriteAt = Timestamp(Long.MIN_VALUE)
    private var closed: NotOwner? = null

    // No ticket gives up before this time. Without it each message would look at all waiting tickets.
    private var nextGiveUp = NEVER

    /** True after Close, and after a position was lost to another owner. */
    public val isClosed: Boolean get() = closed != null

    /** True while the outcome of an entry is open. */
    public val isWriting: Boolean get() = batch != null

    /** When the next Wake is due; null when only a message can change something. */
    public fun wakeAt(): Timestamp? {
        val write = if (batch == null && queue.isNotEmpty()) nextWriteAt else NEVER
        return minOf(write, nextGiveUp).takeIf { it < NEVER }
    }

    /** Handles one message. [wall] is the wall clock, which only expiry depends on. */
    public fun handle(message: ShardMessage, now: Timestamp, wall: Instant): List<ShardEffect> = buildList {
        when (message) {
            is ShardMessage.Ask -> ask(Waiter(message.ticket, message.request, message.deadline), wall)
            is ShardMessage.Appended -> appended(message, wall)
            is ShardMessage.NotAppended -> notAppended(message)
            is ShardMessage.Superseded -> overtaken(message)
            is ShardMessage.OutcomeUnknown -> unsettled(message)
            is ShardMessage.Close -> close(message.hint)
            ShardMessage.Wake -> index.expire(wall)
        }
        giveUp(now)
        startWrite(now)
        if (pending.isEmpty()) nextGiveUp = NEVER
    }

    private fun MutableList<ShardEffect>.ask(waiter: Waiter, wall: Instant) {
        val request = waiter.request
        val refusal = closed
        val waiting = pending[request.key]
        if (refusal == null) nextGiveUp = minOf(nextGiveUp, waiter.deadline)
        val held = index.find(request.key, wall)
        when {
            refusal != null -> answer(waiter, refusal)
            waiting != null -> join(waiting, waiter)
            held == null -> enqueue(waiter, wall)
            held.requestHash != request.requestHash -> decide(waiter, ClaimDecision.Mismatch)
            held.holder.attempt == request.claimant.attempt -> decide(waiter, ClaimDecision.Granted(held.holder))
            held.holder.attempt == request.replaces -> enqueue(waiter, wall)
            else -> decide(waiter, ClaimDecision.Held(held.holder))
        }
    }

    private fun join(waiting: Pending, waiter: Waiter) {
        if (waiting.claim.holder.attempt == waiter.request.claimant.attempt) {
            waiting.askers += waiter
            waiting.deadline = maxOf(waiting.deadline, waiter.deadline)
        } else {
            waiting.others += waiter
        }
    }

    private fun MutableList<ShardEffect>.enqueue(waiter: Waiter, wall: Instant) {
        val request = waiter.request
        val full = pending.size >= limits.maxWaiting || index.size + pending.size >= limits.maxClaims
        if (full || nextWriteAt > waiter.deadline) {
            decide(waiter, ClaimDecision.Unavailable)
            return
        }
        val claim = Claim(
            key = request.key,
            requestHash = request.requestHash,
            holder = request.claimant,
            expiresAt = wall + request.retention,
        )
        val new = Pending(claim, waiter.deadline).apply { askers += waiter }
        pending[request.key] = new
        queue += new
    }

    private fun MutableList<ShardEffect>.startWrite(now: Timestamp) {
        if (closed != null || batch != null) return
        if (queue.isEmpty() || now < nextWriteAt) return
        val members = queue.take(limits.maxBatch)
        queue.removeAll(members.toSet())
        members.forEach { it.inFlight = true }
        val started = Batch(newOperation(), members)
        batch = started
        nextWriteAt = now + limits.writeSpacing
        add(ShardEffect.Append(started.operation, members.map { it.claim }))
    }

    private fun MutableList<ShardEffect>.appended(message: ShardMessage.Appended, wall: Instant) {
        val members = takeBatch(message.operation) ?: return
        for (member in members) {
            index.apply(member.claim, message.sequence)
            pending.remove(member.claim.key)
            member.askers.forEach { decide(it, ClaimDecision.Granted(member.claim.holder)) }
        }
        members.forEach { member -> member.others.forEach { ask(it, wall) } }
    }

    private fun MutableList<ShardEffect>.notAppended(message: ShardMessage.NotAppended) {
        val members = takeBatch(message.operation) ?: return
        nextWriteAt = maxOf(nextWriteAt, message.retryAt)
        members.forEach { answerAll(it, closed ?: Decided(ClaimDecision.Unavailable)) }
    }

    private fun MutableList<ShardEffect>.overtaken(message: ShardMessage.Superseded) {
        val members = takeBatch(message.operation) ?: return
        members.forEach { answerAll(it, NotOwner(message.owner)) }
        close(message.owner)
    }

    private fun MutableList<ShardEffect>.unsettled(message: ShardMessage.OutcomeUnknown) {
        val members = takeBatch(message.operation) ?: return
        members.forEach { answerAll(it, Decided(ClaimDecision.Uncertain)) }
        close(hint = null)
    }

    private fun MutableList<ShardEffect>.close(hint: InstanceId?) {
        val refusal = NotOwner(hint)
        closed = refusal
        val waiting = queue.toList()
        queue.clear()
        waiting.forEach { answerAll(it, refusal) }
    }

    private fun takeBatch(operation: OperationId): List<Pending>? {
        val current = batch?.takeIf { it.operation == operation } ?: return null
        batch = null
        return current.members
    }

    private fun MutableList<ShardEffect>.giveUp(now: Timestamp) {
        if (now < nextGiveUp) return
        for (p in pending.values.toList()) {
            val decision = if (p.inFlight) ClaimDecision.Uncertain else ClaimDecision.Unavailable
            if (!p.inFlight && p.deadline <= now) {
                queue.remove(p)
                answerAll(p, Decided(decision))
                continue
            }
            for (waiters in listOf(p.askers, p.others)) {
                waiters.filter { it.deadline <= now }.forEach { decide(it, decision) }
                waiters.removeAll { it.deadline <= now }
            }
        }
        nextGiveUp = pending.values.minOfOrNull { it.firstGiveUp() } ?: NEVER
    }

    private fun MutableList<ShardEffect>.answerAll(p: Pending, answer: ClaimAnswer) {
        pending.remove(p.claim.key)
        (p.askers + p.others).forEach { answer(it, answer) }
    }

    private fun MutableList<ShardEffect>.decide(waiter: Waiter, decision: ClaimDecision) =
        answer(waiter, Decided(decision))

    private fun MutableList<ShardEffect>.answer(waiter: Waiter, answer: ClaimAnswer) {
        add(ShardEffect.Answer(waiter.ticket, answer))
    }

    private companion object {
        val NEVER = Timestamp(Long.MAX_VALUE)
    }
}
