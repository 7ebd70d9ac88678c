/**
 * Coordinator of the map changes of one group: prepare, arm with a switch step, commit or abort, recovery after a
 * failover, and new generations.
 *
 * It starts by inspecting all ranks under its fence. While it holds its lease it may make decisions. After the lease
 * has ended it only repeats a decision that was already made, and only to incarnations that promised its fence; they
 * reject it once they have promised a successor's fence or have restarted. Orders carry no state of the sender, so each
 * order is repeated until the rank's report shows its effect.
 */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.time.Timestamp

/** Number of epochs reserved for each fence. A lease holder makes far fewer changes. */
private const val EPOCHS_PER_FENCE = 1L shl 20

private val prepareRefusals: Set<MapRefusal?> = setOf(MapRefusal.EPOCH_ENDED, MapRefusal.BUSY)
private val armRefusals: Set<MapRefusal?> = setOf(MapRefusal.STEP_PASSED, MapRefusal.NOT_PREPARED)

/** Immutable state of a coordinator. Created by [takeOver]; [on] processes events. */
public class MapCoordinator internal constructor(
    private val group: GroupId,
    private val fence: Fence,
    private val settings: CoordinatorSettings,
    private val leaseUntil: Timestamp,
    /** The group record as last read or written. */
    public val record: GroupRecord,
    private val members: List<InstanceId>,
    private val views: List<RankView>,
    public val phase: CoordinatorPhase = CoordinatorPhase.Inspecting,
    private val proposal: ExpertPlacement? = null,
    private val lastEpoch: MapEpoch,
) {
    private fun copy(
        leaseUntil: Timestamp = this.leaseUntil,
        record: GroupRecord = this.record,
        members: List<InstanceId> = this.members,
        views: List<RankView> = this.views,
        phase: CoordinatorPhase = this.phase,
        proposal: ExpertPlacement? = this.proposal,
        lastEpoch: MapEpoch = this.lastEpoch,
    ) = MapCoordinator(
        group, fence, settings, leaseUntil, record, members, views, phase, proposal, lastEpoch,
    )

    private fun holdsLease(now: Timestamp) = now < leaseUntil - settings.leaseMargin

    /** Processes one event that occurred at [now]. */
    public fun on(event: CoordinatorEvent, now: Timestamp): CoordinatorTransition {
        if (phase is CoordinatorPhase.Stopped) return CoordinatorTransition(state = this, effects = emptyList())
        val before = applyEvent(event, now)
        val after = when {
            before.holdsLease(now) -> before.decide(now)
            phase is CoordinatorPhase.Committing || phase == CoordinatorPhase.Aborting -> before
            else -> before.stop(StopReason.LEASE_ENDED)
        }
        val next = if (after.phase == phase) after else after.copy(views = after.views.map { it.resetForNewPhase() })
        return next.send(now, saving = phase)
    }

    private fun applyEvent(event: CoordinatorEvent, now: Timestamp): MapCoordinator = when (event) {
        CoordinatorEvent.Tick -> this

        is CoordinatorEvent.Reported -> reportReceived(event.report, now)

        // The fence is unchanged, so the lease never expired at the service, even if it did by the local clock.
        is CoordinatorEvent.LeaseRenewed -> copy(leaseUntil = maxOf(leaseUntil, event.until))

        is CoordinatorEvent.MembersChanged -> membersChanged(event.members)

        is CoordinatorEvent.Proposed -> copy(proposal = event.placement)

        is CoordinatorEvent.Saved -> recordSaved(event.record, now)

        CoordinatorEvent.SaveFailed -> if (phase is CoordinatorPhase.Saving) stop(StopReason.RECORD_UNCERTAIN) else this
    }

    private fun stop(reason: StopReason) = copy(phase = CoordinatorPhase.Stopped(reason))

    private fun reportReceived(report: RankReport, now: Timestamp): MapCoordinator {
        val higher = report.promised != null && report.promised > fence
        if (higher) return stop(StopReason.SUPERSEDED)
        val ours = holdsLease(now) && report.promised == fence
        return copy(views = views.map { if (it.rank == report.rank) it.withReport(report, ours) else it })
    }

    private fun membersChanged(next: List<InstanceId>) = copy(
        members = next,
        views = next.mapIndexed { i, member ->
            views.getOrNull(i)?.takeIf { it.member == member } ?: RankView(rank = RankId(i), member = member)
        },
    )

    private fun recordSaved(saved: GroupRecord, now: Timestamp): MapCoordinator = when {
        phase !is CoordinatorPhase.Saving || phase.record != saved -> this

        saved.generation > record.generation -> copy(record = saved, phase = CoordinatorPhase.Forming())

        saved.proposed == null -> copy(record = saved, phase = CoordinatorPhase.Steady)

        else -> copy(
            record = saved,
            phase = CoordinatorPhase.Preparing(map = saved.proposed, deadline = now + settings.prepareTimeout),
        )
    }

    private fun decide(now: Timestamp): MapCoordinator {
        val known = adoptCommittedMap()
        return if (known.needsGeneration()) known.newGeneration() else known.decideInGeneration(now)
    }

    private fun adoptCommittedMap(): MapCoordinator {
        val epoch = views.firstNotNullOfOrNull { it.newerCommittedEpoch(record.committed.epoch) }
        val map = record.proposed?.takeIf { it.epoch == epoch && it.epoch > record.committed.epoch } ?: return this
        return copy(record = record.copy(committed = map))
    }

    private fun needsGeneration(): Boolean = when (phase) {
        is CoordinatorPhase.Saving, is CoordinatorPhase.Stopped -> false

        is CoordinatorPhase.Forming -> record.members != members || phase.joined.any { (rank, incarnation) ->
            val view = views[rank.value]
            view.promisedIncarnation != null && view.promisedIncarnation != incarnation &&
                view.generation != record.generation
        }

        // Waits for reports of the remaining members first, so that the last committed map is known.
        CoordinatorPhase.Inspecting -> views.none { it.promisedIncarnation == null && it.member in record.members } &&
            membershipOutdated()

        else -> membershipOutdated()
    }

    private fun membershipOutdated() =
        record.members != members || views.any { it.generation != null && it.generation != record.generation }

    /** The new generation starts with the last committed map; a pending change of the old generation is dropped. */
    private fun newGeneration(): MapCoordinator {
        val committed = if (phase is CoordinatorPhase.Committing) phase.map else record.committed
        val next = GroupRecord(
            generation = GroupGeneration(record.generation.value + 1),
            members = members,
            committed = committed,
        )
        return copy(phase = CoordinatorPhase.Saving(next))
    }

    private fun decideInGeneration(now: Timestamp): MapCoordinator = when (phase) {
        CoordinatorPhase.Inspecting -> recover()

        CoordinatorPhase.Steady -> checkSteady()

        is CoordinatorPhase.Saving, is CoordinatorPhase.Stopped -> this

        is CoordinatorPhase.Preparing -> checkPrepared(phase, now)

        is CoordinatorPhase.Arming -> checkArmed(phase, now)

        is CoordinatorPhase.Committing -> if (views.all { it.report?.activeEpoch == phase.map.epoch }) {
            copy(record = record.copy(committed = phase.map), phase = CoordinatorPhase.Steady)
        } else {
            this
        }

        CoordinatorPhase.Aborting -> if (views.all { it.promisedIncarnation != null && it.pendingEpoch == null }) {
            copy(phase = CoordinatorPhase.Steady)
        } else {
            this
        }

        is CoordinatorPhase.Forming -> checkFormed(phase)
    }

    /**
     * If one rank has committed, the change is committed, because all ranks were armed at that time. Otherwise a commit
     * is ruled out only when all ranks have answered, since they now refuse lower fences.
     */
    private fun recover(): MapCoordinator {
        val map = record.proposed
        val committed = map != null && record.committed.epoch == map.epoch
        val switch = views.firstNotNullOfOrNull { it.switchStep(map?.epoch) }
        return when {
            committed && views.any { it.phase is MapPhase.Armed || it.phase is MapPhase.Committed } && switch != null ->
                copy(phase = CoordinatorPhase.Committing(map = map, switchStep = switch))

            views.any { it.promisedIncarnation == null } -> this

            views.any { it.pendingEpoch != null } -> copy(phase = CoordinatorPhase.Aborting)

            else -> copy(phase = CoordinatorPhase.Steady)
        }
    }

    private fun checkSteady(): MapCoordinator = when {
        views.any { it.promisedIncarnation != null && it.pendingEpoch != null } -> recover()

        proposal == null || views.any { it.promisedIncarnation == null } -> this

        else -> {
            val map = ExpertMap(epoch = MapEpoch(lastEpoch.value + 1), placement = proposal)
            copy(
                phase = CoordinatorPhase.Saving(record.copy(proposed = map)),
                proposal = null,
                lastEpoch = map.epoch,
            )
        }
    }

    private fun checkPrepared(phase: CoordinatorPhase.Preparing, now: Timestamp): MapCoordinator {
        val refused = views.any { it.report?.refusal in prepareRefusals }
        return when {
            refused || now >= phase.deadline -> abortChange(phase.map)

            !views.all { it.isPrepared(phase.map.epoch) } -> this

            now + settings.armTimeout >= leaseUntil - settings.leaseMargin -> this

            else -> copy(
                phase = CoordinatorPhase.Arming(
                    map = phase.map,
                    switchStep = views.maxOf { it.report?.step ?: -1 } + settings.switchMargin,
                    deadline = now + settings.armTimeout,
                ),
            )
        }
    }

    private fun checkArmed(phase: CoordinatorPhase.Arming, now: Timestamp): MapCoordinator {
        val all = MapPhase.Armed(epoch = phase.map.epoch, switchStep = phase.switchStep)
        val refused = views.any { it.report?.refusal in armRefusals }
        return when {
            views.all { it.phase == all } -> copy(
                phase = CoordinatorPhase.Committing(map = phase.map, switchStep = phase.switchStep),
            )

            refused || now >= phase.deadline -> abortChange(phase.map)

            else -> this
        }
    }

    /** Retries the same placement under a new epoch. Weights that are already loaded stay loaded. */
    private fun abortChange(map: ExpertMap) = copy(
        phase = CoordinatorPhase.Aborting,
        proposal = proposal ?: map.placement,
    )

    private fun checkFormed(phase: CoordinatorPhase.Forming): MapCoordinator = when {
        views.all { it.generation == record.generation } -> copy(phase = CoordinatorPhase.Steady)

        phase.joined.isEmpty() && views.all { it.hasNoGeneration() && it.isPrepared(record.committed.epoch) } ->
            copy(
                phase = CoordinatorPhase.Forming(
                    joined = views.associate {
                        it.rank to
                            checkNotNull(it.promisedIncarnation)
                    },
                ),
            )

        else -> this
    }

    private fun send(now: Timestamp, saving: CoordinatorPhase): CoordinatorTransition {
        val save = (phase as? CoordinatorPhase.Saving)?.takeIf {
            it != saving
        }?.let { CoordinatorEffect.Save(it.record) }
        // No Inspect after the lease has ended: a restarted agent could promise the old fence again.
        val maySend = { o: MapOrder ->
            phase !is CoordinatorPhase.Stopped && (o != MapOrder.Inspect || holdsLease(now))
        }
        val joinersPrepared = phase is CoordinatorPhase.Forming &&
            views.all {
                it.promisedIncarnation != null &&
                    (!it.hasNoGeneration() || it.isPrepared(record.committed.epoch))
            }
        val due = views.map { view ->
            val needed = orderFor(view, joinersPrepared)
            val again = if (needed == null) settings.probeInterval else settings.retryInterval
            val order = (needed ?: MapOrder.Inspect).takeIf(maySend)
            view to order.takeIf { view.sentAt == null || now - view.sentAt >= again }
        }
        val sends = due.mapNotNull { (view, order) -> order?.let { view.send(it) } }
        val sent = copy(views = due.map { (view, order) -> if (order == null) view else view.copy(sentAt = now) })
        return CoordinatorTransition(state = sent, effects = listOfNotNull(save) + sends)
    }

    private fun RankView.send(order: MapOrder) = CoordinatorEffect.Send(
        rank = rank,
        member = member,
        order = RankOrder(
            group = group,
            generation = record.generation,
            fence = fence,
            incarnation = promisedIncarnation.takeIf { order != MapOrder.Inspect },
            order = order,
        ),
    )

    /** The order that the rank needs to complete the current phase; null if only periodic probes are needed. */
    private fun orderFor(view: RankView, joinersPrepared: Boolean): MapOrder? = when {
        view.promisedIncarnation == null -> MapOrder.Inspect

        else -> when (phase) {
            is CoordinatorPhase.Preparing -> view.prepareOrder(phase.map)

            is CoordinatorPhase.Arming -> MapOrder.Arm(epoch = phase.map.epoch, switchStep = phase.switchStep)
                .takeIf { view.phase !is MapPhase.Armed }

            is CoordinatorPhase.Committing -> when {
                view.phase is MapPhase.Armed ->
                    MapOrder.Commit(epoch = phase.map.epoch, switchStep = phase.switchStep)

                else -> MapOrder.Inspect.takeIf { view.report?.activeEpoch != phase.map.epoch }
            }

            CoordinatorPhase.Aborting -> view.pendingEpoch?.let { MapOrder.Abort(it) }

            is CoordinatorPhase.Forming -> formingOrder(view, phase, joinersPrepared)

            else -> null
        }
    }

    private fun formingOrder(view: RankView, phase: CoordinatorPhase.Forming, joinersPrepared: Boolean): MapOrder? {
        val map = record.committed
        return when {
            view.generation == record.generation -> null
            !view.hasNoGeneration() -> MapOrder.Prepare(map).takeIf { joinersPrepared }
            view.report?.refusal == MapRefusal.NOT_PREPARED -> MapOrder.Prepare(map)
            phase.joined.isNotEmpty() -> MapOrder.Commit(epoch = map.epoch, switchStep = 0)
            else -> view.prepareOrder(map)
        }
    }

    public companion object {
        /**
         * Creates a coordinator that has just acquired the lease under [fence].
         *
         * @param record the group record, read after the lease was acquired.
         * @param members instances that should form the group, indexed by rank.
         */
        public fun takeOver(
            group: GroupId,
            fence: Fence,
            leaseUntil: Timestamp,
            record: GroupRecord,
            members: List<InstanceId> = record.members,
            settings: CoordinatorSettings = CoordinatorSettings(),
        ): MapCoordinator = MapCoordinator(
            lastEpoch = maxOf(
                MapEpoch(fence.value * EPOCHS_PER_FENCE),
                record.committed.epoch,
                record.proposed?.epoch ?: record.committed.epoch,
            ),
            group = group,
            fence = fence,
            settings = settings,
            leaseUntil = leaseUntil,
            record = record,
            members = members,
            views = members.mapIndexed { i, member -> RankView(rank = RankId(i), member = member) },
        )
    }
}
