/**
 * Decides which prompts are kept from replicas because one of their parts crashes each replica that processes it.
 *
 * Replicas that fail together, or one after the other, can do so because of what a request holds. Such a request harms
 * the callers of all others, and sending it again multiplies the crashes. Requests that were about to be answered when
 * their replica crashed put their shared parts under suspicion; an answer to any request with a part clears it. The
 * deepest part that has never been answered is the most likely cause, since the parts before it are shared more widely.
 * The last part, which only the request itself has, is suspected beside the shared ones: it is all that a request has
 * in common with its repeats and with the return of its caller.
 *
 * A wrong suspicion keeps sound requests away, so a quarantined part is tried again with a single request: after a
 * while, or once refusing has cost callers as much as one more crash would. Parts that were answered before are tried
 * sooner. A deadly part fails its trials, and the pause between them grows. Not thread-safe; used on the traffic thread
 * only.
 */
package org.jujubelead.core.quarantine

import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Whether a request may be sent to replicas. */
public sealed interface QuarantineDecision {
    public data object Admitted : QuarantineDecision

    /** The next trial of [part] is in [retryAfter]. */
    public data class Refused(val part: PromptPartId, val retryAfter: Duration) : QuarantineDecision
}

public class PromptQuarantine {
    private val answered = object : LinkedHashMap<PartKey, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<PartKey, Unit>): Boolean = size > MAX_ANSWERED_PARTS
    }
    private val grants = HashSet<PartKey>()
    private val refusals = HashMap<PartKey, Int>()

    /** Evidence by part. Replaced as a whole when it changes. */
    public var records: Map<PartKey, PartRecord> = emptyMap()
        private set

    private fun keysOf(service: ServiceId, parts: List<PromptPartId>, own: PromptPartId?): List<PartKey> =
        parts.map { PartKey(service, it) } + listOfNotNull(own?.let { PartKey(service, it, own = true) })

    /**
     * Decides about a request with the shared [parts] and its [own] one. Uses up a granted trial if only that part is
     * quarantined.
     */
    public fun decide(
        service: ServiceId,
        parts: List<PromptPartId>,
        wallMillis: Long,
        own: PromptPartId? = null,
    ): QuarantineDecision {
        if (records.isEmpty()) return QuarantineDecision.Admitted
        val quarantined = keysOf(service, parts, own).filter { isQuarantined(it, wallMillis) }
        val key = quarantined.firstOrNull() ?: return QuarantineDecision.Admitted
        if (quarantined.size == 1 && grants.remove(key)) return QuarantineDecision.Admitted
        quarantined.forEach { refusals.merge(it, 1, Int::plus) }
        val untilTrial = (records.getValue(key).nextTrialMillis - wallMillis).milliseconds
        return QuarantineDecision.Refused(key.part, untilTrial.coerceAtLeast(MIN_RETRY_DELAY))
    }

    /** True if a request with these parts must not be at a replica, and is no trial. */
    public fun isQuarantined(
        service: ServiceId,
        parts: List<PromptPartId>,
        wallMillis: Long,
        own: PromptPartId? = null,
    ): Boolean = records.isNotEmpty() && keysOf(service, parts, own).any { isQuarantined(it, wallMillis) }

    private fun isQuarantined(key: PartKey, wallMillis: Long): Boolean =
        records[key]?.let { it.quarantined && wallMillis < it.expiresMillis } ?: false

    /**
     * True if a request may be sent again after its replica crashed: its own part is not quarantined, and no shared one
     * is suspected, or all of them have been answered before.
     */
    public fun mayRepeat(service: ServiceId, parts: List<PromptPartId>, own: PromptPartId? = null): Boolean =
        keysOf(service, parts, own).all {
            val record = records[it]
            record == null || !record.suspected || ((record.vouched || it.own) && !record.quarantined)
        }

    /** Records the first event of an answer to a request. Returns true if the evidence has changed. */
    public fun answered(service: ServiceId, parts: List<PromptPartId>, own: PromptPartId? = null): Boolean {
        val keys = keysOf(service, parts, own)
        keys.forEach { if (!it.own) answered[it] = Unit }
        if (records.isEmpty()) return false
        return update(
            keys.mapNotNull { key ->
                records[key]?.takeIf { it.suspected }?.let { key to it.copy(cleared = it.cleared + it.crashes.keys) }
            }.toMap(),
        )
    }

    /**
     * Records that [crash] ended a request before its first event. [responseStarted] is true if the head
     * of the response had arrived. Returns true if the evidence has changed.
     */
    public fun crashed(
        service: ServiceId,
        crash: Incarnation,
        parts: List<PromptPartId>,
        responseStarted: Boolean,
        wallMillis: Long,
        own: PromptPartId? = null,
    ): Boolean {
        val keys = keysOf(service, parts, own)
        val blamed = keys.filter { isQuarantined(it, wallMillis) }.ifEmpty { keys }
        val sign = if (responseStarted) CrashSign.STARTED else CrashSign.NOT_STARTED
        val likely = blamed.lastOrNull { !it.own && it !in answered && records[it]?.vouched != true }
        return update(
            blamed.associateWith { key ->
                val before = records[key] ?: PartRecord(vouched = key in answered)
                val weight = if (key.own || likely == null || key == likely) sign else CrashSign.COMPANION
                val after = before.merge(PartRecord(crashes = mapOf(crash to weight)))
                if (after == before) before else after.rescheduled(wallMillis)
            },
        )
    }

    /** Adds the evidence of another instance or of the store. Returns true if the evidence has changed. */
    public fun merge(other: Map<PartKey, PartRecord>, wallMillis: Long): Boolean = update(
        other.filterValues { wallMillis < it.expiresMillis }.mapValues { (key, record) ->
            val merged = records[key]?.merge(record) ?: record
            if (key in answered) merged.copy(vouched = true) else merged
        },
    )

    /**
     * The part whose next trial is due, and its record if this instance makes the trial. [outageRequests] is the
     * number of requests that a service gets at this instance during the outage that one more crash can cause.
     */
    public fun dueTrial(wallMillis: Long, outageRequests: (ServiceId) -> Int): Pair<PartKey, PartRecord>? {
        for ((key, record) in records) {
            val refused = refusals[key] ?: continue
            if (!isQuarantined(key, wallMillis)) continue
            val due = wallMillis >= record.nextTrialMillis || refused >= trialRefusals(key, record, outageRequests)
            if (due) return key to record.copy(trials = record.trials + 1).rescheduled(wallMillis)
        }
        return null
    }

    /** Allows one request with the part of [key]. Called once the trial is recorded for all instances. */
    public fun grantTrial(key: PartKey) {
        grants += key
    }

    /** Forgets expired records. */
    public fun expire(wallMillis: Long) {
        if (records.values.none { wallMillis >= it.expiresMillis }) return
        records = records.filterValues { wallMillis < it.expiresMillis }
        refusals.keys.retainAll(records.keys)
        grants.retainAll(records.keys)
    }

    private fun update(changed: Map<PartKey, PartRecord>): Boolean {
        val different = changed.filter { (key, record) -> records[key] != record }
        if (different.isEmpty()) return false
        for ((key, record) in different) {
            if (record.nextTrialMillis != records[key]?.nextTrialMillis || !record.quarantined) refusals.remove(key)
            if (!record.quarantined) grants.remove(key)
        }
        records = (records + different).mostImportant(MAX_RECORDS)
        return true
    }

    private fun PartRecord.rescheduled(wallMillis: Long): PartRecord {
        val pause = if (vouched) VOUCHED_TRIAL_PAUSE else TRIAL_PAUSE
        return copy(
            nextTrialMillis = wallMillis + (pause * backoff(this)).inWholeMilliseconds,
            expiresMillis = wallMillis + LIFETIME.inWholeMilliseconds,
        )
    }

    /** Refusals at this instance after which refusing costs callers more than a crash would. */
    private fun trialRefusals(key: PartKey, record: PartRecord, outageRequests: (ServiceId) -> Int): Int {
        if (record.vouched) return VOUCHED_TRIAL_REFUSALS * backoff(record)
        return maxOf(MIN_TRIAL_REFUSALS, outageRequests(key.service)) * backoff(record)
    }

    /** Grows with the crashes and trials that did not clear the part. */
    private fun backoff(record: PartRecord): Int {
        val failures = maxOf(record.trials, record.crashes.keys.count { it !in record.cleared } - 1)
        return generateSequence(1) { it * BACKOFF_FACTOR }.elementAt(failures.coerceIn(0, MAX_BACKOFF_STEPS))
    }

    private companion object {
        /** Parts whose answers are remembered: several hours of new prompts at a busy instance. */
        const val MAX_ANSWERED_PARTS = 4096

        /** Bounds the size of the evidence in the store. */
        const val MAX_RECORDS = 32

        const val MIN_TRIAL_REFUSALS = 15
        val TRIAL_PAUSE: Duration = 2.minutes

        /** A part that was answered before is more likely a victim of other crashes. */
        const val VOUCHED_TRIAL_REFUSALS = 3
        val VOUCHED_TRIAL_PAUSE: Duration = 10.seconds

        const val BACKOFF_FACTOR = 8
        const val MAX_BACKOFF_STEPS = 4

        /** Longer than the pause after two failed trials. */
        val LIFETIME: Duration = 150.minutes
        val MIN_RETRY_DELAY: Duration = 1.seconds
    }
}
