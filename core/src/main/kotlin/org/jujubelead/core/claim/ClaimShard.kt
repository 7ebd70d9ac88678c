/**
 * State machine of the owner of one shard of the claim log.
 *
 * Claims are written by group commit: at most one log entry is in flight, and claims that arrive meanwhile go into the
 * next entry. A claim is granted only after its entry has been written. Answers:
 * - Granted: the log contains the claim.
 * - Held, Mismatch: the log contains another claim for the key.
 * - Unavailable, NotOwner: the claim is not part of any write that has taken effect or still can.
 * - Uncertain: the claim, or another claim for the same key, is part of a write whose outcome was not known before the
 *   deadline.
 *
 * Not thread-safe: a shard is confined to one thread. It reads no clock and performs no I/O; each message returns the
 * list of effects to carry out.
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
 * Limits of a shard.
 *
 * @property writeSpacing minimum time between the starts of two writes.
 * @property maxBatch maximum number of claims in one log entry. A claim takes at most 300 bytes because the length of
 *   ids is bounded, so an entry stays below 1 MB.
 * @property maxWaiting maximum number of claims that are not written yet; further claims are refused.
 * @property maxClaims maximum number of claims kept in memory. Further claims are refused, because no claim may be
 *   dropped before it expires. At 273 bytes per claim, the three shards of a process take 24 MB of its 48 MB heap.
 */
public data class ShardLimits(
    val writeSpacing: Duration = 50.milliseconds,
    val maxBatch: Int = 3_000,
    val maxWaiting: Int = 20_000,
    val maxClaims: Int = 30_000,
)

/** @param newOperation returns a new unique id at each call. */
public class ClaimShard(
    private val index: ClaimIndex,
    private val limits: ShardLimits = ShardLimits(),
    private val newOperation: () -> OperationId,
) {
    /**
     * A claim that is not in the log yet.
     *
     * @property sameAttempt waiters that request the key for the attempt of this claim.
     * @property otherAttempts waiters that request the key for other attempts.
     */
    private class Pending(val claim: Claim, var deadline: Timestamp) {
        val sameAttempt = ArrayList<Waiter>()
        val otherAttempts = ArrayList<Waiter>()
        var inFlight = false

        fun minDeadline(): Timestamp = (sameAttempt + otherAttempts).minOfOrNull { it.deadline } ?: NEVER
    }

    private class Waiter(val ticket: Ticket, val request: ClaimRequest, val deadline: Timestamp)

    private class Batch(val operation: OperationId, val members: List<Pending>)

    private val pending = LinkedHashMap<ClaimKey, Pending>()
    private val queue = LinkedHashSet<Pending>()
    private var batch: Batch? = null
    private var nextWriteAt = Timestamp(Long.MIN_VALUE)
    private var closed: NotOwner? = null

    // Lower bound of the waiters' deadlines. It avoids a scan of all waiters for each message.
    private var nextDeadline = NEVER

    /** True after Close, after another owner took over the log, and after a write with an unknown outcome. */
    public val isClosed: Boolean get() = closed != null

    /** True while a write is in flight. */
    public val isWriting: Boolean get() = batch != null

    /** When the next Wake is due; null when nothing is scheduled. */
    public fun wakeAt(): Timestamp? {
        val write = if (batch == null && queue.isNotEmpty()) nextWriteAt else NEVER
        return minOf(write, nextDeadline).takeIf { it < NEVER }
    }

    /** Handles one message. [wall] is the wall-clock time; it is used only for the expiry of claims. */
    public fun handle(message: ShardMessage, now: Timestamp, wall: Instant): List<ShardEffect> = buildList {
        when (message) {
            is ShardMessage.Ask -> ask(Waiter(message.ticket, message.request, message.deadline), wall)
            is ShardMessage.Appended -> appended(message, wall)
            is ShardMessage.NotAppended -> notAppended(message)
            is ShardMessage.Superseded -> superseded(message)
            is ShardMessage.OutcomeUnknown -> outcomeUnknown(message)
            is ShardMessage.Close -> close(message.hint)
            ShardMessage.Wake -> index.expire(wall)
        }
        expireWaiters(now)
        startWrite(now)
        if (pending.isEmpty()) nextDeadline = NEVER
    }

    private fun MutableList<ShardEffect>.ask(waiter: Waiter, wall: Instant) {
        val request = waiter.request
        val refusal = closed
        val waiting = pending[request.key]
        if (refusal == null) nextDeadline = minOf(nextDeadline, waiter.deadline)
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
            waiting.sameAttempt += waiter
            waiting.deadline = maxOf(waiting.deadline, waiter.deadline)
        } else {
            waiting.otherAttempts += waiter
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
        val new = Pending(claim, waiter.deadline).apply { sameAttempt += waiter }
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
            member.sameAttempt.forEach { decide(it, ClaimDecision.Granted(member.claim.holder)) }
        }
        members.forEach { member -> member.otherAttempts.forEach { ask(it, wall) } }
    }

    private fun MutableList<ShardEffect>.notAppended(message: ShardMessage.NotAppended) {
        val members = takeBatch(message.operation) ?: return
        nextWriteAt = maxOf(nextWriteAt, message.retryAt)
        members.forEach { answerAll(it, closed ?: Decided(ClaimDecision.Unavailable)) }
    }

    private fun MutableList<ShardEffect>.superseded(message: ShardMessage.Superseded) {
        val members = takeBatch(message.operation) ?: return
        members.forEach { answerAll(it, NotOwner(message.owner)) }
        close(message.owner)
    }

    private fun MutableList<ShardEffect>.outcomeUnknown(message: ShardMessage.OutcomeUnknown) {
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

    private fun MutableList<ShardEffect>.expireWaiters(now: Timestamp) {
        if (now < nextDeadline) return
        for (p in pending.values.toList()) {
            val decision = if (p.inFlight) ClaimDecision.Uncertain else ClaimDecision.Unavailable
            if (!p.inFlight && p.deadline <= now) {
                queue.remove(p)
                answerAll(p, Decided(decision))
                continue
            }
            for (waiters in listOf(p.sameAttempt, p.otherAttempts)) {
                waiters.filter { it.deadline <= now }.forEach { decide(it, decision) }
                waiters.removeAll { it.deadline <= now }
            }
        }
        nextDeadline = pending.values.minOfOrNull { it.minDeadline() } ?: NEVER
    }

    private fun MutableList<ShardEffect>.answerAll(p: Pending, answer: ClaimAnswer) {
        pending.remove(p.claim.key)
        (p.sameAttempt + p.otherAttempts).forEach { answer(it, answer) }
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
