/**
 * The agent's record of the state of each attempt: admitted, running, finished, or never to run. It decides which
 * attempts may start and what the agent may report about them.
 *
 * A ledger serves one incarnation of an agent and is confined to one thread. All times, including ticks, are times of
 * the agent's own monotonic clock.
 *
 * Correctness depends on two rules that senders follow:
 * - The tick of an attempt is the latest tick of the agent that the sender knew *before the attempt was claimed* (for
 *   attempts without a claim, before it was sent). All messages about the attempt carry this tick. A sender that does
 *   not know the tick passes a lower one; this can only turn NOT_RUN into UNKNOWN. A tick learned after the claim would
 *   let a sender that was paused dispatch an attempt whose tombstone has already been dropped.
 * - An attempt is sent once. A retry is a new attempt.
 *
 * For an attempt without a record, the ledger can prove the following:
 * - If its tick is higher than the ticks of all dropped records, the attempt was never admitted by this incarnation.
 * - If its tick is too old or it has a tombstone, the attempt will never be admitted.
 *
 * When a limit is reached, nothing is dropped before its minimum retention. When the table of records is full, new
 * attempts are refused. When the table of tombstones is full, all attempts without a record whose tick is not later
 * than the current time are refused, which takes no memory; senders continue with the newer tick that the refusal
 * carries.
 */
package org.jujubelead.core.execution

import org.jujubelead.core.execution.AdmitDecision.AlreadyKnown
import org.jujubelead.core.execution.AdmitDecision.Refused
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.time.Timestamp

/** @param A type of stored answers. */
public class ExecutionLedger<A : Any>(
    private val incarnation: Incarnation,
    private val limits: LedgerLimits = LedgerLimits(),
) {
    private class Record<A>(val tick: Timestamp, val deadline: Timestamp) {
        var state: AttemptState = AttemptState.ADMITTED
        var finishedAt: Timestamp = Timestamp.ZERO
        var answer: A? = null
        var answerBytes: Long = 0
    }

    private val records = HashMap<AttemptId, Record<A>>()

    // In these three maps, insertion order is chronological order.
    private val finished = LinkedHashMap<AttemptId, Record<A>>()
    private val answers = LinkedHashMap<AttemptId, Record<A>>()
    private val tombstones = LinkedHashMap<AttemptId, Timestamp>()

    private var answerBytes = 0L
    private var maxDroppedTick = MIN_TIMESTAMP
    private var maxRefusedTick = MIN_TIMESTAMP

    /** True after [startDrain]; new attempts are refused. */
    public var draining: Boolean = false
        private set

    /** Number of attempts that are admitted or running. */
    public val active: Int get() = records.size - finished.size

    /** Number of records, including those of finished attempts. */
    public val recordCount: Int get() = records.size

    public val tombstoneCount: Int get() = tombstones.size

    public val storedAnswerBytes: Long get() = answerBytes

    /**
     * Admits or refuses an attempt that arrives.
     *
     * An attempt addressed to another incarnation is refused as not run: senders send an attempt once, so the addressed
     * incarnation never received it. Other than that, this incarnation knows nothing about the attempt, so [cancel] and
     * [lookup] return UNKNOWN in the same case.
     *
     * @param deadline deadline on the agent's clock, computed when the message was read.
     * @param keepsAnswer true when the answer is kept for retries. Only these attempts are refused while the store of
     *   answers is full.
     */
    public fun admit(
        attempt: AttemptId,
        incarnation: Incarnation,
        tick: Timestamp,
        deadline: Timestamp,
        now: Timestamp,
        keepsAnswer: Boolean = true,
    ): AdmitDecision {
        expire(now)
        if (incarnation != this.incarnation) return Refused(RefusalCause.WRONG_INCARNATION, notRun = true)
        records[attempt]?.let { return AlreadyKnown(it.state) }
        return when {
            attempt in tombstones -> Refused(RefusalCause.CANCELLED, notRun = true)

            // A tick from the future was never issued by this agent. It would make the attempt seem fresh for too long.
            tick > now -> Refused(RefusalCause.MALFORMED, notRun = false)

            isStale(tick, now) -> Refused(RefusalCause.STALE_TICK, notRun = neverAdmitted(tick))

            // A drain lasts until the incarnation ends, so the attempt needs no tombstone.
            draining -> Refused(RefusalCause.DRAINING, notRun = neverAdmitted(tick))

            deadline <= now -> refusePermanently(attempt, RefusalCause.DEADLINE_PASSED, now)

            !makeRoom(keepsAnswer, now) -> refusePermanently(attempt, RefusalCause.OVERLOADED, now)

            else -> {
                records[attempt] = Record(tick = tick, deadline = deadline)
                AdmitDecision.Admitted
            }
        }
    }

    /**
     * Marks an attempt as handed over to the target. The caller hands it over only when this returns true, immediately
     * and on the same thread.
     *
     * Returns false when the attempt was cancelled or already handed over, or when its deadline passed while it waited
     * or the process was paused. An attempt refused because of its deadline becomes NOT_RUN.
     */
    public fun handOver(attempt: AttemptId, now: Timestamp): Boolean {
        val record = records[attempt]?.takeIf { it.state == AttemptState.ADMITTED } ?: return false
        if (record.deadline <= now) {
            recordTombstone(attempt, now)
            return false
        }
        record.state = AttemptState.RUNNING
        return true
    }

    /** Reverts a hand-over when it is proved that no part of the attempt reached the target. */
    public fun handOverFailed(attempt: AttemptId, now: Timestamp): Boolean {
        if (records[attempt]?.state != AttemptState.RUNNING) return false
        recordTombstone(attempt, now)
        return true
    }

    /**
     * Marks a running attempt as finished; returns false when the attempt is not running. The answer is not stored when
     * it is null or too large, or when attempts that ran concurrently have filled the store.
     */
    public fun finish(attempt: AttemptId, answer: A?, bytes: Long, now: Timestamp): Boolean {
        val record = records[attempt]?.takeIf { it.state == AttemptState.RUNNING } ?: return false
        record.state = AttemptState.FINISHED
        record.finishedAt = now
        finished[attempt] = record
        if (answer != null && bytes <= limits.maxBytesPerAnswer && makeRoomForAnswer(bytes, now)) {
            record.answer = answer
            record.answerBytes = bytes
            answers[attempt] = record
            answerBytes += bytes
        }
        return true
    }

    /**
     * Cancels an attempt that was not handed over yet, and returns the state of the attempt. After NOT_RUN the attempt
     * never runs on this agent. An attempt that was handed over continues.
     *
     * @param tick the tick of the attempt, or a lower one.
     */
    public fun cancel(attempt: AttemptId, incarnation: Incarnation, tick: Timestamp, now: Timestamp): AttemptState {
        expire(now)
        if (incarnation != this.incarnation) return AttemptState.UNKNOWN
        val record = records[attempt]
        return when {
            record != null && record.state != AttemptState.ADMITTED -> record.state

            record != null -> {
                recordTombstone(attempt, now)
                AttemptState.NOT_RUN
            }

            attempt in tombstones -> AttemptState.NOT_RUN

            // The attempt may have run. With a tombstone, a second cancel would wrongly return NOT_RUN.
            tick > now || !neverAdmitted(tick) -> AttemptState.UNKNOWN

            else -> {
                recordTombstone(attempt, now)
                AttemptState.NOT_RUN
            }
        }
    }

    /**
     * Returns the state of an attempt without changing it. An attempt that has not arrived is UNKNOWN because it may
     * still arrive; only [cancel] can prove that it will never run.
     */
    public fun lookup(attempt: AttemptId, incarnation: Incarnation): AttemptLookup<A> {
        val record = records[attempt]
        return when {
            incarnation != this.incarnation -> AttemptLookup(AttemptState.UNKNOWN)
            record != null -> AttemptLookup(record.state, record.answer)
            attempt in tombstones -> AttemptLookup(AttemptState.NOT_RUN)
            else -> AttemptLookup(AttemptState.UNKNOWN)
        }
    }

    /** Refuses new attempts for the rest of this incarnation. Attempts already admitted continue. */
    public fun startDrain() {
        draining = true
    }

    /** Drops tombstones and finished records whose retention has passed. [admit] and [cancel] do this too. */
    public fun expire(now: Timestamp) {
        tombstones.removeOldestWhile { now - it >= limits.tombstoneRetention }
        while (finished.isNotEmpty() && now - finished.values.first().finishedAt >= limits.maxFinishedRetention) {
            dropOldestFinished()
        }
    }

    private fun isStale(tick: Timestamp, now: Timestamp) = tick <= maxRefusedTick || now - tick > limits.maxTickAge

    /** True when no record of an admitted attempt with this tick or a later one has been dropped. */
    private fun neverAdmitted(tick: Timestamp) = tick > maxDroppedTick

    private fun refusePermanently(attempt: AttemptId, cause: RefusalCause, now: Timestamp): AdmitDecision {
        recordTombstone(attempt, now)
        return Refused(cause, notRun = true)
    }

    private fun recordTombstone(attempt: AttemptId, now: Timestamp) {
        records.remove(attempt)
        if (tombstones.size < limits.maxTombstones) tombstones[attempt] = now else maxRefusedTick = now
    }

    private fun makeRoom(keepsAnswer: Boolean, now: Timestamp): Boolean {
        if (records.size >= limits.maxRecords) {
            val oldest = finished.values.firstOrNull() ?: return false
            if (now - oldest.finishedAt < limits.minFinishedRetention) return false
            dropOldestFinished()
        }
        return !keepsAnswer || makeRoomForAnswer(limits.maxBytesPerAnswer, now)
    }

    /** Drops answers past their minimum retention until [bytes] more fit; returns false when they do not fit. */
    private fun makeRoomForAnswer(bytes: Long, now: Timestamp): Boolean {
        while (answerBytes + bytes > limits.maxAnswerBytes) {
            val (attempt, record) = answers.entries.first()
            if (now - record.finishedAt < limits.minFinishedRetention) return false
            dropAnswer(attempt, record)
        }
        return true
    }

    private fun dropOldestFinished() {
        val (attempt, record) = finished.entries.first()
        finished.remove(attempt)
        records.remove(attempt)
        dropAnswer(attempt, record)
        if (record.tick > maxDroppedTick) maxDroppedTick = record.tick
    }

    private fun dropAnswer(attempt: AttemptId, record: Record<A>) {
        if (answers.remove(attempt) == null) return
        answerBytes -= record.answerBytes
        record.answer = null
    }

    private companion object {
        val MIN_TIMESTAMP = Timestamp(Long.MIN_VALUE)
    }
}

private inline fun <K, V> LinkedHashMap<K, V>.removeOldestWhile(expired: (V) -> Boolean) {
    val entries = entries.iterator()
    while (entries.hasNext() && expired(entries.next().value)) entries.remove()
}
