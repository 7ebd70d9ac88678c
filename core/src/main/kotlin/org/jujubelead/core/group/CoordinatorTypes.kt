/** Events, effects and phases of [MapCoordinator]. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times and margins of a coordinator. */
public data class CoordinatorSettings(
    /** An order without effect is repeated after this time. */
    val retryInterval: Duration = 200.milliseconds,
    /** Time between reports asked for at rest. */
    val probeInterval: Duration = 5.seconds,
    /** A prepare that is not complete after this time is aborted. */
    val prepareTimeout: Duration = 60.seconds,
    /** An arm that is not complete after this time is aborted. */
    val armTimeout: Duration = 1.seconds,
    /** Orders stop this long before the lease can lapse elsewhere. */
    val leaseMargin: Duration = 1.seconds,
    /**
     * Steps between the largest step reported and the switch step. At 47 ms a step this is 1.9 s, more than
     * [armTimeout] and the age of a report together, so that an undisturbed change never stalls a rank.
     */
    val switchMargin: Long = 40,
)

/** Input of [MapCoordinator]. */
public sealed interface CoordinatorEvent {
    /** Time has passed; at least every [CoordinatorSettings.retryInterval]. */
    public data object Tick : CoordinatorEvent

    public data class Reported(val report: RankReport) : CoordinatorEvent

    /** The lease was extended under the same fence and cannot lapse before [until] on the own clock. */
    public data class LeaseRenewed(val until: Timestamp) : CoordinatorEvent

    /** The instances that are to form the group, by rank. */
    public data class MembersChanged(val members: List<InstanceId>) : CoordinatorEvent

    /** A placement is wanted. A later one replaces it as long as it is not begun. */
    public data class Proposed(val placement: ExpertPlacement) : CoordinatorEvent

    /** The record was written. */
    public data class Saved(val record: GroupRecord) : CoordinatorEvent

    /** The record was not written, or its outcome is unknown. */
    public data object SaveFailed : CoordinatorEvent
}

/** Output of [MapCoordinator], carried out by the runner. */
public sealed interface CoordinatorEffect {
    /** Send an order to the agent of [rank] on [member]; pass its report back. */
    public data class Send(val rank: RankId, val member: InstanceId, val order: RankOrder) : CoordinatorEffect

    /**
     * Write the record by compare-and-swap on the version that this coordinator read or wrote last. After an unknown
     * outcome the runner reads the key and reports what it finds.
     */
    public data class Save(val record: GroupRecord) : CoordinatorEffect
}

/** Why a coordinator has stopped for good. */
public enum class StopReason {
    LEASE_ENDED,
    SUPERSEDED,

    /** The stored record may differ from the known one. The lease holder reads it and takes over again. */
    RECORD_UNCERTAIN,
}

/** What a coordinator is doing. */
public sealed interface CoordinatorPhase {
    /** Asks all ranks where they stand. Nothing is decided yet. */
    public data object Inspecting : CoordinatorPhase

    /** No change is in progress. */
    public data object Steady : CoordinatorPhase

    /** Waits for the record of the next change. */
    public data class Saving(val record: GroupRecord) : CoordinatorPhase

    public data class Preparing(val map: ExpertMap, val deadline: Timestamp) : CoordinatorPhase

    public data class Arming(val map: ExpertMap, val switchStep: Long, val deadline: Timestamp) : CoordinatorPhase

    /** Decided to commit. Only delivery remains. */
    public data class Committing(val map: ExpertMap, val switchStep: Long) : CoordinatorPhase

    /** Decided to abort whatever is pending. Only delivery remains. */
    public data object Aborting : CoordinatorPhase

    /**
     * Forms the record's generation. Ranks outside the old generation load first, while the old generation may still
     * step; then all others prepare; then all join.
     *
     * @property joined incarnations that were ordered to join. If one of them restarts, another generation is formed,
     *   because it may have taken part in steps.
     */
    public data class Forming(val joined: Map<RankId, Incarnation> = emptyMap()) : CoordinatorPhase

    public data class Stopped(val reason: StopReason) : CoordinatorPhase
}

/** New state and the effects to carry out. */
public data class CoordinatorTransition(val state: MapCoordinator, val effects: List<CoordinatorEffect>)
