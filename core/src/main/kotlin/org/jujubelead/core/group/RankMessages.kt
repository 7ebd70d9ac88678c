/** Orders of a coordinator to the agent of a rank, and the reports of the agent. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.Incarnation

/** Content of an order. All orders are idempotent. */
public sealed interface MapOrder {
    /** Load the missing weights while the current map stays in use. In a higher generation: leave the old one. */
    public data class Prepare(val map: ExpertMap) : MapOrder

    /** Do not start [switchStep] until the change is committed or aborted. */
    public data class Arm(val epoch: MapEpoch, val switchStep: Long) : MapOrder

    /** Use the map starting with [switchStep]. In a higher generation: join it with this map. */
    public data class Commit(val epoch: MapEpoch, val switchStep: Long) : MapOrder

    /** Keep the current map and remove the step limit. */
    public data class Abort(val epoch: MapEpoch) : MapOrder

    /** Promise to refuse lower fences, and report. */
    public data object Inspect : MapOrder
}

/**
 * An order with its sender and recipient.
 *
 * @property incarnation incarnation that answered the Inspect of the coordinator; null only for Inspect. An agent loses
 *   its promise when it restarts, so orders to an earlier incarnation must be refused.
 */
public data class RankOrder(
    val group: GroupId,
    val generation: GroupGeneration,
    val fence: Fence,
    val incarnation: Incarnation?,
    val order: MapOrder,
)

/** Phase of a rank during a change. */
public sealed interface MapPhase {
    public data object Idle : MapPhase

    /** All weights of the map are loaded. */
    public data class Prepared(val epoch: MapEpoch) : MapPhase

    /** The rank cannot start [switchStep] until the change is committed or aborted. */
    public data class Armed(val epoch: MapEpoch, val switchStep: Long) : MapPhase

    /** The change is committed; the rank uses the map starting with [switchStep]. */
    public data class Committed(val epoch: MapEpoch, val switchStep: Long) : MapPhase
}

/** Why an agent refused an order. A refused order has no effect. */
public enum class MapRefusal {
    /** The agent has restarted and waits until orders of its predecessor can no longer take effect. */
    RECOVERING,

    /** The agent has promised a higher fence. */
    OLD_FENCE,

    /** The order was addressed to an earlier incarnation of the agent or its rank. */
    WRONG_INCARNATION,

    /** This incarnation has not been inspected under the order's fence. */
    NOT_INSPECTED,
    OLD_GENERATION,

    /** The epoch was aborted. */
    EPOCH_ENDED,

    /** Another map is armed or committed and not yet in use. */
    BUSY,
    NOT_PREPARED,
    NOT_ARMED,

    /** The rank has already started the switch step. */
    STEP_PASSED,
    ALREADY_COMMITTED,
}

/**
 * State of a rank as its agent knows it.
 *
 * @property generation generation in which the rank can execute steps; [GroupGeneration.NONE] if it has left its last
 *   one.
 * @property pendingEpoch epoch of the map being loaded, prepared, armed or committed.
 * @property step last step that the rank has started; -1 before the first.
 * @property refusal null if the order was accepted.
 */
public data class RankReport(
    val rank: RankId,
    val incarnation: Incarnation,
    val generation: GroupGeneration,
    val promised: Fence?,
    val phase: MapPhase,
    val activeEpoch: MapEpoch?,
    val pendingEpoch: MapEpoch?,
    val step: Long,
    val refusal: MapRefusal? = null,
)
