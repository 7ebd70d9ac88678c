/**
 * The agent's record of which attempts may run, run, ran, or never will. It decides what the agent may say about an
 * attempt.
 *
 * The ledger belongs to one incarnation of an agent and to one thread. All times, ticks included, are of the agent's
 * own monotonic clock.
 *
 * Senders keep two rules, on which the proofs rest:
 * - The tick of an attempt is the latest tick of the agent known to the sender *before the attempt was claimed* (before
 *   it was sent, for attempts without a claim). All messages about the attempt carry this tick. A sender that does not
 *   know it passes a lower one, which can only turn NOT_RUN into UNKNOWN. A tick learnt after the claim would let a
 *   paused sender dispatch an attempt whose tombstone has been forgotten.
 * - The sender of an attempt sends it once. A retry is another attempt.
 *
 * What can be proved about an attempt without a record:
 * - Its tick is above the ticks of all dropped records: it was never admitted here.
 * - Its tick is too old, or a tombstone stands: it never will be.
 *
 * At the bounds nothing is dropped early. When the records are full, new attempts are refused. When the tombstones are
 * full, all attempts with a tick up to the present and without a record are refused, which takes no memory; senders go
 * on with the newer tick they learn from the refusal.
 */
package org.jujubelead.core.execution

import org.jujubelead.core.execution.AdmitDecision.AlreadyKnown
import org.jujubelead.core.execution.AdmitDecision.Refused
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.time.Timestamp

/** The ledger. [A] is the type of stored answers. */
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

    // Insertion order is order of time in these three.
    private val finished = LinkedHashMap<AttemptId, Record<A>>()
    private val answers = LinkedHashMap<AttemptId, Record<A>>()
    private val tombstones = LinkedHashMap<AttemptId, Timestamp>()

    private var answerBytes = 0L
    private var forgottenTick = BEFORE_ALL
    private var refusedTick = BEFORE_ALL

    /** True once [startDrain] was called; new attempts are refused from then on. */
    public var draining: Boolean = false
        private set

    /** Attempts admitted or running. */
    public val active: Int get() = records.size - finished.size

    /** Records, finished ones included. */
    public val recordCount: Int get() = records.size

    public val tombstoneCount: Int get() = tombstones.size

    public val storedAnswerBytes: Long get() = answerBytes

    /**
     * Decides about an attempt that arrives. [deadline] is on this agent's clock, computed when the message was read.
     * [keepsAnswer] is true for attempts whose answer is kept for retries; only these are refused while the store of
     * answers is full.
     *
     * An attempt meant for another incarnation is refused as not run: its only message came here, so the incarnation it
     * was meant for never got it. This holds because its sender sends it once; the agent knows nothing else about it,
     * so [cancel] and [lookup] answer UNKNOWN in the same case.
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

            // A tick that was never issued says nothing, and its attempt would pass as fresh later.
            tick > now -> Refused(RefusalCause.MALFORMED, notRun = false)

            isStale(tick, now) -> Refused(RefusalCause.STALE_TICK, notRun = neverAdmitted(tick))

            // A drain ends with the incarnation, so no tombstone is needed.
            draining -> Refused(RefusalCause.DRAINING, notRun = neverAdmitted(tick))

            deadline <= now -> refuseForGood(attempt, RefusalCause.DEADLINE_PASSED, now)

            !hasRoom(keepsAnswer, now) -> refuseForGood(attempt, RefusalCause.OVERLOADED, now)

            else -> {
                records[attempt] = Record(tick = tick, deadline = deadline)
                AdmitDecision.Admitted
            }
        }
    }

    /**
     * Marks an attempt as handed over. The caller hands it over only on true, at once and on the same thread.
     *
     * False when the attempt was cancelled, was handed over before, or its deadline passed while the process was frozen
     * or the attempt waited. An attempt that passed its deadline here is NOT_RUN.
     */
    public fun handOver(attempt: AttemptId, now: Timestamp): Boolean {
        val record = records[attempt]?.takeIf { it.state == AttemptState.ADMITTED } ?: return false
        if (record.deadline <= now) {
            bury(attempt, now)
            return false
        }
        record.state = AttemptState.RUNNING
        return true
    }

    /** Takes a hand-over back, when it is proved that nothing of the attempt reached the target. */
    public fun handOverFailed(attempt: AttemptId, now: Timestamp): Boolean {
        if (records[attempt]?.state != AttemptState.RUNNING) return false
        bury(attempt, now)
        return true
    }

    /**
     * Records the end of a running attempt; false when it does not run. The attempt is FINISHED without an answer when
     * [answer] is null or too large, or when attempts that ran side by side have filled the store.
     */
    public fun finish(attempt: AttemptId, answer: A?, bytes: Long, now: Timestamp): Boolean {
        val record = records[attempt]?.takeIf { it.state == AttemptState.RUNNING } ?: return false
        record.state = AttemptState.FINISHED
        record.finishedAt = now
        finished[attempt] = record
        if (answer != null && bytes <= limits.maxBytesPerAnswer && hasAnswerRoom(bytes, now)) {
            record.answer = answer
            record.answerBytes = bytes
            answers[attempt] = record
            answerBytes += bytes
        }
        return true
    }

    /**
     * Cancels an attempt that was not handed over, and says what is known about it. [tick] is the tick of the attempt,
     * or a lower one. After NOT_RUN, the attempt will not run here. An attempt already handed over goes on.
     */
    public fun cancel(attempt: AttemptId, incarnation: Incarnation, tick: Timestamp, now: Timestamp): AttemptState {
        expire(now)
        if (incarnation != this.incarnation) return AttemptState.UNKNOWN
        val record = records[attempt]
        return when {
            record != null && record.state != AttemptState.ADMITTED -> record.state

            record != null -> {
                bury(attempt, now)
                AttemptState.NOT_RUN
            }

            attempt in tombstones -> AttemptState.NOT_RUN

            // It may have run. A tombstone here would let the next cancel say that it did not.
            tick > now || !neverAdmitted(tick) -> AttemptState.UNKNOWN

            else -> {
                bury(attempt, now)
                AttemptState.NOT_RUN
            }
        }
    }

    /**
     * Reports an attempt and changes nothing. An attempt that has not arrived is UNKNOWN, as it may still arrive:
     * only [cancel] can prove that it never will run.
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

    /** Refuses new attempts for the rest of this incarnation. Attempts admitted before go on. */
    public fun startDrain() {
        draining = true
    }

    /** Drops tombstones and finished records that have been kept long enough. Other calls do this too. */
    public fun expire(now: Timestamp) {
        tombstones.dropWhileOldest { now - it >= limits.tombstoneRetention }
        while (finished.isNotEmpty() && now - finished.values.first().finishedAt >= limits.maxFinishedRetention) {
            dropOldestFinished()
        }
    }

    private fun isStale(tick: Timestamp, now: Timestamp) = tick <= refusedTick || now - tick > limits.maxTickAge

    /** True when no attempt with [tick] was ever admitted and then dropped. */
    private fun neverAdmitted(tick: Timestamp) = tick > forgottenTick

    private fun refuseForGood(attempt: AttemptId, cause: RefusalCause, now: Timestamp): AdmitDecision {
        bury(attempt, now)
        return Refused(cause, notRun = true)
    }

    private fun bury(attempt: AttemptId, now: Timestamp) {
        records.remove(attempt)
        if (tombstones.size < limits.maxTombstones) tombstones[attempt] = now else refusedTick = now
    }

    private fun hasRoom(keepsAnswer: Boolean, now: Timestamp): Boolean {
        if (records.size >= limits.maxRecords) {
            val oldest = finished.values.firstOrNull() ?: return false
            if (now - oldest.finishedAt < limits.minFinishedRetention) return false
            dropOldestFinished()
        }
        return !keepsAnswer || hasAnswerRoom(limits.maxBytesPerAnswer, now)
    }

    /** Drops answers that are old enough until [bytes] more fit; false when they do not. */
    private fun hasAnswerRoom(bytes: Long, now: Timestamp): Boolean {
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
        if (record.tick > forgottenTick) forgottenTick = record.tick
    }

    private fun dropAnswer(attempt: AttemptId, record: Record<A>) {
        if (answers.remove(attempt) == null) return
        answerBytes -= record.answerBytes
        record.answer = null
    }

    private companion object {
        val BEFORE_ALL = Timestamp(Long.MIN_VALUE)
    }
}

private inline fun <K, V> LinkedHashMap<K, V>.dropWhileOldest(expired: (V) -> Boolean) {
    val entries = entries.iterator()
    while (entries.hasNext() && expired(entries.next().value)) entries.remove()
}
