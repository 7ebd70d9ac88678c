/**
 * The targets that an entry may send requests to. Combines the platform's list, which lags, with the failures and
 * drains that the entry observes itself.
 *
 * A target is a candidate when the list shows it as live, neither its agent nor the settings of its zone report a
 * drain, and it is not ejected. A suspect target that is not ejected because of the limit on ejections stays a
 * candidate. Views are immutable; an update that changes no candidate copies only one chunk of probe times and shares
 * the rest with its predecessor.
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

    /** All targets of the last list, including leaving and ejected ones. */
    public val known: List<Target> get() = targets

    /** The candidates of a target set, in the order of the list. Empty only when no live target is listed. */
    public fun candidates(kind: TargetKind, serves: String, now: Timestamp): List<Target> =
        candidates(TargetSetId(kind, serves), now)

    /** The candidates of [set]. An ejected target returns only after a successful probe, not after a time. */
    @Suppress("UNUSED_PARAMETER")
    public fun candidates(set: TargetSetId, now: Timestamp): List<Target> = sets[set]?.candidates.orEmpty()

    /** The targets of [set] that are ejected because of failures. */
    public fun ejected(set: TargetSetId): Set<TargetKey> = sets[set]?.ejected.orEmpty()

    /** The targets to probe now: suspect and draining targets, and idle targets that [watched] selects. */
    public fun probesDue(now: Timestamp, watched: (Target) -> Boolean = { true }): List<Target> =
        targets.filterIndexed { i, target -> probeDue[i] <= now && (watched(target) || isExcluded(target)) }

    public fun update(event: MembershipEvent, now: Timestamp): MembershipView = when (event) {
        is MembershipEvent.ListRead -> listRead(event, now)
        is MembershipEvent.ZonesDraining -> if (event.zones == drainingZones) this else zonesDraining(event.zones)
        is MembershipEvent.OfTarget -> indexOf[event.target]?.let { ofTarget(event, targets[it], now) } ?: this
    }

    private fun ofTarget(event: MembershipEvent.OfTarget, target: Target, now: Timestamp): MembershipView =
        when (event) {
            is MembershipEvent.AttemptSucceeded -> responded(target, now)
            is MembershipEvent.LoadReported -> responded(target, now)
            is MembershipEvent.AttemptFailed -> attemptFailed(target, event.kind, now)
            is MembershipEvent.AgentDraining -> agentDraining(target, event.tickMillis, now)
            is MembershipEvent.ProbeStarted -> withDue(target, now + policy.probeInterval)
            is MembershipEvent.ProbeFailed -> eject(target, event.kind, now)
            is MembershipEvent.ProbeSucceeded -> probeSucceeded(target, event, now)
        }

    private fun isExcluded(target: Target): Boolean =
        target.key in drains || sets.getValue(target.set).history[target.key]?.suspect == true

    /** The target answered other than to a probe. This resets the consecutive failures but does not end an ejection. */
    private fun responded(target: Target, now: Timestamp): MembershipView {
        if (isExcluded(target)) return this
        val history = historyOf(target)
        val due = withDue(target, now + policy.idleProbeInterval)
        return when {
            history == null -> due
            now - history.lastFailure >= policy.failureRetention -> due.withHistory(target, null)
            history.consecutiveFailures > 0 -> due.withHistory(target, history.copy(consecutiveFailures = 0))
            else -> due
        }
    }

    private fun attemptFailed(target: Target, kind: FailureKind, now: Timestamp): MembershipView {
        val history = historyOf(target) ?: FailureHistory()
        return when {
            history.suspect -> this

            kind == FailureKind.REFUSED || history.consecutiveFailures + 1 >= policy.failuresToEject -> eject(
                target,
                kind,
                now,
            )

            // The probe opens a new connection, which tells a failed connection from a failed target.
            kind == FailureKind.NO_RESPONSE -> withHistory(target, history.failed(now)).withDue(target, now)

            else -> withHistory(target, history.failed(now))
        }
    }

    private fun eject(target: Target, kind: FailureKind, now: Timestamp): MembershipView {
        val history = (historyOf(target) ?: FailureHistory()).ejected(kind, now)
        return withHistory(target, history).withDue(target, now + policy.ejectionTime(history.ejections))
    }

    private fun probeSucceeded(
        target: Target,
        event: MembershipEvent.ProbeSucceeded,
        now: Timestamp,
    ): MembershipView {
        if (event.draining) return agentDraining(target, event.tickMillis, now)
        val announced = drains[target.key]
        if (announced != null && announced.tickMillis >= event.tickMillis) return this
        val due = withDue(target, now + policy.idleProbeInterval)
        val undrained = if (announced == null) due else due.withDrains(drains - target.key, setOf(target.set))
        val history = historyOf(target) ?: return undrained
        val forget = now - history.lastFailure >= policy.failureRetention
        return undrained.withHistory(target, if (forget) null else history.reinstated())
    }

    private fun agentDraining(target: Target, tickMillis: Long, now: Timestamp): MembershipView {
        val tick = maxOf(tickMillis, drains[target.key]?.tickMillis ?: tickMillis)
        val changed = if (target.key in drains) emptySet() else setOf(target.set)
        return withDrains(drains + (target.key to AnnouncedDrain(tick, now)), changed)
            .withDue(target, now + policy.drainProbeInterval)
    }

    private fun listRead(event: MembershipEvent.ListRead, now: Timestamp): MembershipView {
        if (listRequestedAt != null && event.requestedAt < listRequestedAt) return this
        // A correct list contains at least this entry, so an empty list is a fault of the platform.
        if (event.records.isEmpty()) return this
        val newLeaving = leavingSeen.filterValues { now - it < policy.leavingRetention } +
            event.records.filter { it.state == InstanceState.LEAVING }.map { TargetKey(it.id, it.incarnation) to now }
        val listed = event.records
            .mapNotNull { record -> record.toTarget()?.let { ListedTarget(it, it.key in newLeaving) } }
            .distinctBy { it.target.key }
        val newTargets = listed.map { it.target }
        val newIndex = HashMap<TargetKey, Int>(newTargets.size * 2)
        newTargets.forEachIndexed { i, target -> newIndex[target.key] = i }
        val newDrains = drains
            .mapValues { (key, drain) -> if (key in newIndex) drain.copy(seenAt = now) else drain }
            .filterValues { now - it.seenAt < policy.drainRetention }
        val newSets = listed.groupBy { it.target.set }.mapValues { (id, members) ->
            val old = sets[id]
            val history = old?.history?.filterKeys { it in newIndex }.orEmpty()
            // Readers cache data derived from a candidate list by its identity, so an unchanged set keeps its instance.
            old?.takeIf { it.listed == members && it.history == history && newDrains.keys == drains.keys }
                ?: TargetSet(members, history, newDrains, drainingZones, policy)
        }
        val due = DueTimes.of(newTargets.size) { i -> indexOf[newTargets[i].key]?.let { probeDue[it] } ?: now }
        return MembershipView(
            policy, newTargets, newIndex, newSets, newDrains, newLeaving, drainingZones, due, event.requestedAt,
        )
    }

    private fun zonesDraining(zones: Set<ZoneId>): MembershipView {
        val newSets = sets.mapValues { (_, set) -> TargetSet(set.listed, set.history, drains, zones, policy) }
        return MembershipView(
            policy, targets, indexOf, newSets, drains, leavingSeen, zones, probeDue, listRequestedAt,
        )
    }

    private fun historyOf(target: Target): FailureHistory? = sets.getValue(target.set).history[target.key]

    private fun withDue(target: Target, due: Timestamp): MembershipView =
        copy(probeDue = probeDue.with(indexOf.getValue(target.key), due))

    private fun withHistory(target: Target, history: FailureHistory?): MembershipView {
        val set = sets.getValue(target.set)
        val changed = if (history == null) set.history - target.key else set.history + (target.key to history)
        return copy(sets = sets + (target.set to TargetSet(set.listed, changed, drains, drainingZones, policy)))
    }

    private fun withDrains(drains: Map<TargetKey, AnnouncedDrain>, changed: Set<TargetSetId>): MembershipView {
        val rebuilt = changed.associateWith { id ->
            val set = sets.getValue(id)
            TargetSet(set.listed, set.history, drains, drainingZones, policy)
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
