/**
 * Evidence that a part of a prompt crashes replicas.
 *
 * Records are merged between instances and with the store in any order and any number of times, so both sets of a
 * record only grow: a crash that a later answer has explained away is not removed, but added to [PartRecord.cleared].
 * Times are wall-clock times, since they are compared across instances and restarts; an error of some seconds only
 * shifts a trial.
 */
package org.jujubelead.core.quarantine

import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Incarnation

/**
 * A part of a prompt, as processed by the replicas of one service.
 *
 * @property own true for the last part of a prompt, which belongs to one request or session.
 */
public data class PartKey(val service: ServiceId, val part: PromptPartId, val own: Boolean = false)

/** How strongly one crash speaks against a part. */
public enum class CrashSign(public val weight: Int) {
    /** Another part of the same prompt is the more likely cause. */
    COMPANION(2),

    /** The request was at the replica, and its response had not started. */
    NOT_STARTED(3),

    /** The response had started, and its first event had not arrived. */
    STARTED(6),
}

/**
 * @property crashes incarnations that crashed while they had a request with the part.
 * @property cleared crashes after which a request with the part was answered.
 * @property vouched true if requests with the part were answered before the first crash.
 * @property trials number of trials so far, by all instances.
 * @property nextTrialMillis wall-clock time from which one request with the part may be sent again.
 * @property expiresMillis wall-clock time at which the record is forgotten.
 */
public data class PartRecord(
    val crashes: Map<Incarnation, CrashSign> = emptyMap(),
    val cleared: Set<Incarnation> = emptySet(),
    val vouched: Boolean = false,
    val trials: Int = 0,
    val nextTrialMillis: Long = 0,
    val expiresMillis: Long = 0,
) {
    private val weight: Int get() = crashes.entries.sumOf { (crash, sign) -> if (crash in cleared) 0 else sign.weight }

    /** True if a crash speaks against the part that no answer has explained away. */
    val suspected: Boolean get() = weight > 0

    /** True if requests with the part must not be sent to replicas. */
    val quarantined: Boolean get() = weight >= if (vouched) MIN_WEIGHT_VOUCHED else MIN_WEIGHT

    /** Combines the evidence of both records. */
    public fun merge(other: PartRecord): PartRecord = PartRecord(
        crashes = (crashes + other.crashes.mapValues { (crash, sign) -> maxOf(sign, crashes[crash] ?: sign) })
            .latest(),
        cleared = cleared + other.cleared,
        vouched = vouched || other.vouched,
        trials = maxOf(trials, other.trials),
        nextTrialMillis = maxOf(nextTrialMillis, other.nextTrialMillis),
        expiresMillis = maxOf(expiresMillis, other.expiresMillis),
    )

    /** Bounds the size of a record. Which of the oldest crashes is left out does not matter. */
    private fun Map<Incarnation, CrashSign>.latest(): Map<Incarnation, CrashSign> =
        if (size <= MAX_CRASHES) {
            this
        } else {
            entries.sortedByDescending { it.key.startedAtMillis }.take(MAX_CRASHES).associate { it.key to it.value }
        }

    private companion object {
        const val MAX_CRASHES = 16

        /** One crash of a response that had started, or two of requests that waited. */
        const val MIN_WEIGHT = 6

        /** Popular parts are at replicas that crash for other reasons, but are answered between the crashes. */
        const val MIN_WEIGHT_VOUCHED = 8
    }
}

/**
 * The [count] records of shared parts and half as many of own parts that matter most: quarantined ones first, then
 * suspected ones, then the latest. Each prompt has an own part, so that these would displace the others.
 */
public fun Map<PartKey, PartRecord>.mostImportant(count: Int): Map<PartKey, PartRecord> {
    if (size <= count / 2) return this
    return filterKeys { !it.own }.takeImportant(count) + filterKeys { it.own }.takeImportant(count / 2)
}

private fun Map<PartKey, PartRecord>.takeImportant(count: Int): Map<PartKey, PartRecord> {
    if (size <= count) return this
    val order = compareByDescending<PartRecord> { it.quarantined }
        .thenByDescending { it.suspected }
        .thenByDescending { it.expiresMillis }
    return entries.sortedWith(compareBy(order) { it.value }).take(count).associate { it.key to it.value }
}
