/** State of a rank's engine and the orders it accepts, independent of the wire format. */
package org.jujubelead.core.group

import org.jujubelead.core.ids.Incarnation

/** A map whose weights the rank has loaded or is loading. */
public data class PendingMap(val epoch: MapEpoch, val complete: Boolean)

/** A switch that the rank will perform without a further order. */
public data class ScheduledSwitch(val epoch: MapEpoch, val step: Long)

/**
 * State reported by the rank itself.
 *
 * @property incarnation incarnation of the rank's engine. A restarted engine has lost all other state.
 * @property startedStep last step started in [generation]; -1 before the first.
 * @property limit first step that the rank may not start; null without a limit.
 */
public data class RankState(
    val incarnation: Incarnation,
    val generation: GroupGeneration = GroupGeneration.NONE,
    val activeEpoch: MapEpoch? = null,
    val startedStep: Long = -1,
    val limit: Long? = null,
    val pending: PendingMap? = null,
    val scheduled: ScheduledSwitch? = null,
) {
    /** True if all weights of [epoch] are loaded on the rank. */
    public fun holds(epoch: MapEpoch): Boolean =
        activeEpoch == epoch || (pending?.epoch == epoch && pending.complete)
}

/** An order to the rank's engine. All orders are idempotent. */
public sealed interface EngineOrder {
    /** Read the state. */
    public data object Read : EngineOrder

    /** Load the missing weights in the background. */
    public data class Load(val map: ExpertMap) : EngineOrder

    /** Do not start [limit] or a later step; null removes the limit. */
    public data class Limit(val limit: Long?) : EngineOrder

    /** Use the loaded map starting with [step]. */
    public data class Activate(val epoch: MapEpoch, val step: Long) : EngineOrder

    /** Leave the old generation and wait for step 0 of the new one with the given map, without a limit. */
    public data class Join(val generation: GroupGeneration, val epoch: MapEpoch) : EngineOrder
}
