/** Events, effects and phases of [MapCoordinator]. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeouts, intervals and margins of a coordinator. */
public data class CoordinatorSettings(
    /** Time after which an order that has had no effect is repeated. */
    val retryInterval: Duration = 200.milliseconds,
    /** Interval of the probes sent while no order is needed. */
    val probeInterval: Duration = 5.seconds,
    /** A change whose prepare phase is not complete after this time is aborted. */
    val prepareTimeout: Duration = 60.seconds,
    /** A change whose arm phase is not complete after this time is aborted. */
    val armTimeout: Duration = 1.seconds,
    /** The coordinator stops making decisions this long before the lease can expire at the service. */
    val leaseMargin: Duration = 1.seconds,
    /**
     * Number of steps between the largest reported step and the switch step. At 47 ms per step this is 1.9 s, longer
     * than [armTimeout] plus the age of a report, so that a change without faults never stalls a rank.
     */
    val switchMargin: Long = 40,
)

/** Input of [MapCoordinator]. */
public sealed interface CoordinatorEvent {
    /** Timer event, sent at least every [CoordinatorSettings.retryInterval]. */
    public data object Tick : CoordinatorEvent

    public data class Reported(val report: RankReport) : CoordinatorEvent

    /** The lease was extended under the same fence and cannot expire before [until] by the local clock. */
    public data class LeaseRenewed(val until: Timestamp) : CoordinatorEvent

    /** The instances that should form the group, indexed by rank. */
    public data class MembersChanged(val members: List<InstanceId>) : CoordinatorEvent

    /** Requests a change to [placement]. A later proposal replaces it until the change has started. */
    public data class Proposed(val placement: ExpertPlacement) : CoordinatorEvent

    /** The record was written. */
    public data class Saved(val record: GroupRecord) : CoordinatorEvent

    /** The record was not written, or the outcome of the write is unknown. */
    public data object SaveFailed : CoordinatorEvent
}

/** Output of [MapCoordinator], executed by the caller. */
public sealed interface CoordinatorEffect {
    /** Send [order] to the agent of [rank] on [member] and pass the report back as [CoordinatorEvent.Reported]. */
    public data class Send(val rank: RankId, val member: InstanceId, val order: RankOrder) : CoordinatorEffect

    /**
     * Write the record by compare-and-swap on the version that this coordinator last read or wrote. If the outcome is
     * unknown, the caller reads the key and reports the result.
     */
    public data class Save(val record: GroupRecord) : CoordinatorEffect
}

/** Why a coordinator has stopped. A stopped coordinator does not resume. */
public enum class StopReason {
    LEASE_ENDED,
    SUPERSEDED,

    /** The stored record may differ from the known one. The lease holder reads it and creates a new coordinator. */
    RECORD_UNCERTAIN,
}

/** Phase of a coordinator. */
public sealed interface CoordinatorPhase {
    /** Asks all ranks for their state. No decision has been made yet. */
    public data object Inspecting : CoordinatorPhase

    /** No change is in progress. */
    public data object Steady : CoordinatorPhase

    /** Waits until the record of the next change is written. */
    public data class Saving(val record: GroupRecord) : CoordinatorPhase

    public data class Preparing(val map: ExpertMap, val deadline: Timestamp) : CoordinatorPhase

    public data class Arming(val map: ExpertMap, val switchStep: Long, val deadline: Timestamp) : CoordinatorPhase

    /** The change is committed; the commit orders are being delivered. */
    public data class Committing(val map: ExpertMap, val switchStep: Long) : CoordinatorPhase

    /** Any pending change is aborted; the abort orders are being delivered. */
    public data object Aborting : CoordinatorPhase

    /**
     * Forms the generation of the record. Ranks outside the old generation load the map first, while the old generation
     * may still execute steps; then all other ranks prepare; then all ranks join.
     *
     * @property joined incarnations that were ordered to join. If one of them restarts, another generation is formed,
     *   because it may have executed steps.
     */
    public data class Forming(val joined: Map<RankId, Incarnation> = emptyMap()) : CoordinatorPhase

    public data class Stopped(val reason: StopReason) : CoordinatorPhase
}

/** New state and the effects to execute. */
public data class CoordinatorTransition(val state: MapCoordinator, val effects: List<CoordinatorEffect>)
