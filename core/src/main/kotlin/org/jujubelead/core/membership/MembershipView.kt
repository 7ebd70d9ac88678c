/**
 * The targets that an entry may choose: the platform's lagging list combined with the entry's own evidence.
 *
 * A target is a candidate when the list shows it as live, neither its agent nor the settings of its zone say that it
 * drains, and it is not ejected.
 * A suspect that the cap on ejections keeps in remains a candidate. Values are immutable; an update that changes no
 * candidate shares everything but one chunk of probe times with its predecessor.
 */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp

public class MembershipView private constructor(
    private val policy: MembershipPolicy,
    private val targets: List<Target>,
    private val indexOf: Map<TargetKey, Int>,
    private val sets: Map<TargetSetId, TargetSet>,
    private val drains: Map<TargetKey, AnnouncedDrain>,
    private val leavingSeen: Map<TargetKey, Timestamp>,
    private val drainingZones: Set<ZoneId>,
    private val probeDue: DueTimes,
    private val listRequestedAt: Timestamp?,
) {
    public constructor(policy: MembershipPolicy = MembershipPolicy()) : this(
        policy,
        targets = emptyList(),
        indexOf = emptyMap(),
        sets = emptyMap(),
        drains = emptyMap(),
        leavingSeen = emptyMap(),
        drainingZones = emptySet(),
        probeDue = DueTimes.of(0) { Timestamp.ZERO },
        listRequestedAt = null,
    )

    /** All targets of the last list, also leaving and ejected ones. */
    public val known: List<Target> get() = targets

    /** The targets that may be chosen now, in the order of the list. Empty only when no live target is listed. */
    public fun candidates(kind: TargetKind, serves: String, now: Timestamp): List<Target> =
        candidates(TargetSetId(kind, serves), now)

    /** The targets of [set] that may be chosen now. Ejected targets return through probes, not with time alone. */
    @Suppress("UNUSED_PARAMETER")
    public fun candidates(set: TargetSetId, now: Timestamp): List<Target> = sets[set]?.candidates.orEmpty()

    /** The targets of [set] that are kept out because of failures. */
    public fun ejected(set: TargetSetId): Set<TargetKey> = sets[set]?.ejected.orEmpty()

    /** The targets to probe now: suspects, draining targets, and targets of [watched] not heard from for long. */
    public fun probesDue(now: Timestamp, watched: (Target) -> Boolean = { true }): List<Target> =
        targets.filterIndexed { i, target -> probeDue[i] <= now && (watched(target) || isOut(target)) }

    public fun update(event: MembershipEvent, now: Timestamp): MembershipView = when (event) {
        is MembershipEvent.ListRead -> listRead(event, now)
        is MembershipEvent.ZonesDraining -> if (event.zones == drainingZones) this else zonesDraining(event.zones)
        is MembershipEvent.OfTarget -> indexOf[event.target]?.let { ofTarget(event, targets[it], now) } ?: this
    }

    private fun ofTarget(event: MembershipEvent.OfTarget, target: Target, now: Timestamp): MembershipView =
        when (event) {
            is MembershipEvent.AttemptSucceeded -> heard(target, now)
            is MembershipEvent.LoadReported -> heard(target, now)
            is MembershipEvent.AttemptFailed -> attemptFailed(target, event.kind, now)
            is MembershipEvent.AgentDraining -> drained(target, event.tickMillis, now)
            is MembershipEvent.ProbeStarted -> withDue(target, now + policy.probeInterval)
            is MembershipEvent.ProbeFailed -> eject(target, event.kind, now)
            is MembershipEvent.ProbeSucceeded -> probeSucceeded(target, event, now)
        }

    private fun isOut(target: Target): Boolean =
        target.key in drains || sets.getValue(target.set).evidence[target.key]?.suspect == true

    /** A sign of life that is not a probe. It ends a run of failures, but does not return an ejected target. */
    private fun heard(target: Target, now: Timestamp): MembershipView {
        if (isOut(target)) return this
        val evidence = evidenceOf(target)
        val due = withDue(target, now + policy.idleProbeInterval)
        return when {
            evidence == null -> due
            now - evidence.lastFailure >= policy.forgetAfter -> due.withEvidence(target, null)
            evidence.failures > 0 -> due.withEvidence(target, evidence.copy(failures = 0))
            else -> due
        }
    }

    private fun attemptFailed(target: Target, kind: FailureKind, now: Timestamp): MembershipView {
        val evidence = evidenceOf(target) ?: Evidence()
        return when {
            evidence.suspect -> this

            kind == FailureKind.REFUSED || evidence.failures + 1 >= policy.failuresToEject -> eject(target, kind, now)

            // The probe opens a new connection: it tells a silent path from a dead target.
            kind == FailureKind.NO_RESPONSE -> withEvidence(target, evidence.failed(now)).withDue(target, now)

            else -> withEvidence(target, evidence.failed(now))
        }
    }

    private fun eject(target: Target, kind: FailureKind, now: Timestamp): MembershipView {
        val evidence = (evidenceOf(target) ?: Evidence()).ejected(kind, now)
        return withEvidence(target, evidence).withDue(target, now + policy.ejectionTime(evidence.ejections))
    }

    private fun probeSucceeded(
        target: Target,
        event: MembershipEvent.ProbeSucceeded,
        now: Timestamp,
    ): MembershipView {
        if (event.draining) return drained(target, event.tickMillis, now)
        val announced = drains[target.key]
        if (announced != null && announced.tickMillis >= event.tickMillis) return this
        val due = withDue(target, now + policy.idleProbeInterval)
        val undrained = if (announced == null) due else due.withDrains(drains - target.key, setOf(target.set))
        val evidence = evidenceOf(target) ?: return undrained
        val forget = now - evidence.lastFailure >= policy.forgetAfter
        return undrained.withEvidence(target, if (forget) null else evidence.trusted())
    }

    private fun drained(target: Target, tickMillis: Long, now: Timestamp): MembershipView {
        val tick = maxOf(tickMillis, drains[target.key]?.tickMillis ?: tickMillis)
        val changed = if (target.key in drains) emptySet() else setOf(target.set)
        return withDrains(drains + (target.key to AnnouncedDrain(tick, now)), changed)
            .withDue(target, now + policy.drainProbeInterval)
    }

    private fun listRead(event: MembershipEvent.ListRead, now: Timestamp): MembershipView {
        if (listRequestedAt != null && event.requestedAt < listRequestedAt) return this
        // A list without any record is a fault of the platform: the reader itself would be on a correct one.
        if (event.records.isEmpty()) return this
        val newLeaving = leavingSeen.filterValues { now - it < policy.holdLeavingFor } +
            event.records.filter { it.state == InstanceState.LEAVING }.map { TargetKey(it.id, it.incarnation) to now }
        val listed = event.records
            .mapNotNull { record -> record.toTarget()?.let { ListedTarget(it, it.key in newLeaving) } }
            .distinctBy { it.target.key }
        val newTargets = listed.map { it.target }
        val newIndex = HashMap<TargetKey, Int>(newTargets.size * 2)
        newTargets.forEachIndexed { i, target -> newIndex[target.key] = i }
        val newDrains = drains
            .mapValues { (key, drain) -> if (key in newIndex) drain.copy(seenAt = now) else drain }
            .filterValues { now - it.seenAt < policy.forgetDrainAfter }
        val newSets = listed.groupBy { it.target.set }.mapValues { (id, members) ->
            val old = sets[id]
            val evidence = old?.evidence?.filterKeys { it in newIndex }.orEmpty()
            // Readers keep what they derived from a list of candidates for as long as it is the same list.
            old?.takeIf { it.listed == members && it.evidence == evidence && newDrains.keys == drains.keys }
                ?: TargetSet(members, evidence, newDrains, drainingZones, policy)
        }
        val due = DueTimes.of(newTargets.size) { i -> indexOf[newTargets[i].key]?.let { probeDue[it] } ?: now }
        return MembershipView(
            policy, newTargets, newIndex, newSets, newDrains, newLeaving, drainingZones, due, event.requestedAt,
        )
    }

    private fun zonesDraining(zones: Set<ZoneId>): MembershipView {
        val newSets = sets.mapValues { (_, set) -> TargetSet(set.listed, set.evidence, drains, zones, policy) }
        return MembershipView(
            policy, targets, indexOf, newSets, drains, leavingSeen, zones, probeDue, listRequestedAt,
        )
    }

    private fun evidenceOf(target: Target): Evidence? = sets.getValue(target.set).evidence[target.key]

    private fun withDue(target: Target, due: Timestamp): MembershipView =
        copy(probeDue = probeDue.with(indexOf.getValue(target.key), due))

    private fun withEvidence(target: Target, evidence: Evidence?): MembershipView {
        val set = sets.getValue(target.set)
        val changed = if (evidence == null) set.evidence - target.key else set.evidence + (target.key to evidence)
        return copy(sets = sets + (target.set to TargetSet(set.listed, changed, drains, drainingZones, policy)))
    }

    private fun withDrains(drains: Map<TargetKey, AnnouncedDrain>, changed: Set<TargetSetId>): MembershipView {
        val rebuilt = changed.associateWith { id ->
            val set = sets.getValue(id)
            TargetSet(set.listed, set.evidence, drains, drainingZones, policy)
        }
        return copy(drains = drains, sets = sets + rebuilt)
    }

    private fun copy(
        sets: Map<TargetSetId, TargetSet> = this.sets,
        drains: Map<TargetKey, AnnouncedDrain> = this.drains,
        probeDue: DueTimes = this.probeDue,
    ): MembershipView = MembershipView(
        policy, targets, indexOf, sets, drains, leavingSeen, drainingZones, probeDue, listRequestedAt,
    )
}
