/**
 * Measures how long the ranks of a group take to get ready for a switch, and derives how many passes ahead of the
 * current one the switch is set.
 *
 * The group is held at the pass of the switch until all ranks are armed for it. If that pass comes too early, the whole
 * group stands still, and every open stream has a gap; if it comes too late, a few passes more use the previous map.
 * The first is much worse, so the margin covers the slowest recent switch and not the mean one. The orders to prepare
 * the map take the same way as those to arm it, so the margin also follows a delay that has just arisen: it allows for
 * the same fraction of their time as before. Not thread-safe; used on the control thread only.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

public class SwitchDuration {
    private var estimate = INITIAL_ESTIMATE

    /** Time to arm all ranks relative to the slowest order that prepared the map, in recent switches. */
    private var fraction = 1.0
    private var slowestOrder = Duration.ZERO
    private var heldSince: Timestamp? = null

    /** True if an order of the current change got no answer. */
    private var disturbed = false

    /** Records that a change has entered [phase]. */
    public fun phaseChanged(phase: ChangePhase, now: Timestamp) {
        if (phase is ChangePhase.Holding) heldSince = now
        if (phase is ChangePhase.Idle || phase is ChangePhase.Preparing) {
            heldSince = null
            slowestOrder = Duration.ZERO
            disturbed = false
        }
    }

    /** Records that an order of the current change was answered after [took]. */
    public fun orderAnswered(took: Duration) {
        slowestOrder = maxOf(slowestOrder, took)
    }

    /**
     * Records that an order of the current change got no answer. How long its switch takes depends on the lost agent
     * then, and says nothing about the next one.
     */
    public fun orderUnanswered() {
        disturbed = true
    }

    /** Records that all ranks are armed. Returns how long that took; null if it was recorded before. */
    public fun allArmed(now: Timestamp): Duration? {
        val took = now - (heldSince ?: return null)
        heldSince = null
        if (disturbed) return took
        estimate = maxOf(took, estimate * (1 - WEIGHT) + took * WEIGHT)
        if (slowestOrder > Duration.ZERO) {
            val latest = took / slowestOrder
            fraction = maxOf(latest, fraction * (1 - WEIGHT) + latest * WEIGHT)
        }
        return took
    }

    /** Number of passes of [passTime] between the current pass and the one of the switch. */
    public fun marginSteps(passTime: Duration): Long {
        if (passTime <= Duration.ZERO) return MapChange.DEFAULT_MARGIN_STEPS
        val needed = maxOf(estimate, slowestOrder * fraction) * HEADROOM
        return (ceil(needed / passTime).toLong() + 1).coerceIn(MapChange.DEFAULT_MARGIN_STEPS, MAX_MARGIN)
    }

    private companion object {
        val INITIAL_ESTIMATE: Duration = 200.milliseconds

        /** Weight of a switch that was faster than the estimate. */
        const val WEIGHT = 0.4

        /** Passes become shorter once all ranks have loaded their experts. */
        const val HEADROOM = 1.3

        /** Bounds how long a map in preparation is out of use. */
        const val MAX_MARGIN = 24L
    }
}
