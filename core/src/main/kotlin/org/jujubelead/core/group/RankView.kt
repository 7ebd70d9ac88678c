/** A coordinator's view of one rank. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp

/**
 * @property promisedIncarnation incarnation that promised this coordinator's fence while its lease held.
 * @property sentAt when the last order was sent; null if the next order is due immediately.
 */
internal data class RankView(
    val rank: RankId,
    val member: InstanceId,
    val promisedIncarnation: Incarnation? = null,
    val report: RankReport? = null,
    val sentAt: Timestamp? = null,
) {
    val phase: MapPhase? get() = report?.phase.takeIf { promisedIncarnation != null }
    val generation: GroupGeneration? get() = report?.generation.takeIf { promisedIncarnation != null }
    val pendingEpoch: MapEpoch? get() = report?.pendingEpoch.takeIf { promisedIncarnation != null }

    fun isPrepared(epoch: MapEpoch): Boolean = phase == MapPhase.Prepared(epoch)

    /** True for a rank that is in no generation because it has just started or has left its last one. */
    fun hasNoGeneration(): Boolean = generation == GroupGeneration.NONE

    /** The committed epoch newer than [known] that this rank reports, or null. */
    fun newerCommittedEpoch(known: MapEpoch): MapEpoch? =
        ((phase as? MapPhase.Committed)?.epoch ?: report?.activeEpoch)?.takeIf { it > known }

    /** Makes the next order due immediately and clears a refusal of an order of the previous phase. */
    fun resetForNewPhase(): RankView = copy(sentAt = null, report = report?.copy(refusal = null))

    /**
     * Returns the view updated with [report]. A report sets [promisedIncarnation] only if the order was accepted and
     * [ours] is true, that is, this coordinator holds the lease and the report promises its fence. Later, a restarted
     * agent may have lost its promise to a successor.
     */
    fun withReport(report: RankReport, ours: Boolean): RankView = when {
        report.incarnation == promisedIncarnation && report.refusal != MapRefusal.NOT_INSPECTED ->
            copy(report = report, sentAt = sentAt.takeUnless { hasProgressed(report) })

        ours && report.refusal == null -> copy(promisedIncarnation = report.incarnation, report = report, sentAt = null)

        report.refusal == MapRefusal.RECOVERING -> this

        else -> copy(promisedIncarnation = null, sentAt = null)
    }

    private fun hasProgressed(next: RankReport) =
        next.phase != report?.phase || next.generation != report.generation || next.refusal != report.refusal

    /** The switch step of [epoch] if the rank is armed or committed for it. */
    fun switchStep(epoch: MapEpoch?): Long? = when (val p = phase) {
        is MapPhase.Armed -> p.switchStep.takeIf { p.epoch == epoch }
        is MapPhase.Committed -> p.switchStep.takeIf { p.epoch == epoch }
        else -> null
    }

    /** Sends the map until the rank has started to load it; after that, asks for progress. */
    fun prepareOrder(map: ExpertMap): MapOrder? = when {
        isPrepared(map.epoch) -> null
        pendingEpoch == map.epoch && report?.refusal == null -> MapOrder.Inspect
        else -> MapOrder.Prepare(map)
    }
}
