/** Sizes of rank orders and reports in protobuf form. The incarnation counts as a string field; the schema lacks it. */
package org.jujubelead.bench.placement

import org.jujubelead.core.group.MapOrder
import org.jujubelead.core.group.MapPhase
import org.jujubelead.core.group.RankOrder
import org.jujubelead.core.group.RankReport
import org.jujubelead.protocol.AbortMap
import org.jujubelead.protocol.ArmMap
import org.jujubelead.protocol.CommitMap
import org.jujubelead.protocol.ExpertMap
import org.jujubelead.protocol.InspectMap
import org.jujubelead.protocol.PrepareMap
import org.jujubelead.protocol.RankExperts
import org.jujubelead.protocol.RankPhase
import org.jujubelead.protocol.RankOrder as OrderMessage
import org.jujubelead.protocol.RankReport as ReportMessage

/** Tag and length of a short string field. */
private const val FIELD_OVERHEAD = 2

internal fun RankOrder.encodedSize(): Int {
    val message = OrderMessage.newBuilder().setGroup(group.value).setGeneration(generation.value).setFence(fence.value)
    when (val o = order) {
        is MapOrder.Prepare -> message.setPrepare(PrepareMap.newBuilder().setMap(o.map.encoded()))

        is MapOrder.Arm ->
            message.setArm(ArmMap.newBuilder().setEpoch(o.epoch.value).setSwitchStep(o.switchStep))

        is MapOrder.Commit ->
            message.setCommit(CommitMap.newBuilder().setEpoch(o.epoch.value).setSwitchStep(o.switchStep))

        is MapOrder.Abort -> message.setAbort(AbortMap.newBuilder().setEpoch(o.epoch.value))

        MapOrder.Inspect -> message.setInspect(InspectMap.getDefaultInstance())
    }
    return message.build().serializedSize + (incarnation?.let { it.value.length + FIELD_OVERHEAD } ?: 0)
}

private fun org.jujubelead.core.group.ExpertMap.encoded(): ExpertMap = ExpertMap.newBuilder()
    .setEpoch(epoch.value)
    .addAllRanks(placement.ranks.map { RankExperts.newBuilder().addAllExperts(it).build() })
    .build()

internal fun RankReport.encodedSize(): Int {
    val message = ReportMessage.newBuilder()
        .setRank(rank.value)
        .setAccepted(refusal == null)
        .setPromisedFence(promised?.value ?: 0)
        .setActiveEpoch(activeEpoch?.value ?: 0)
        .setPendingEpoch(pendingEpoch?.value ?: 0)
        .setStep(maxOf(step, 0))
    when (val p = phase) {
        MapPhase.Idle -> message.setPhase(RankPhase.IDLE)
        is MapPhase.Prepared -> message.setPhase(RankPhase.PREPARED)
        is MapPhase.Armed -> message.setPhase(RankPhase.ARMED).setSwitchStep(p.switchStep)
        is MapPhase.Committed -> message.setPhase(RankPhase.COMMITTED).setSwitchStep(p.switchStep)
    }
    return message.build().serializedSize + incarnation.value.length + FIELD_OVERHEAD
}
