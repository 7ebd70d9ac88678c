/**
 * Measures how long the ranks of a group take to get ready for a switch, and derives how many passes ahead of the
 * current one the switch is set.
 *
 * The group is held at the pass of the switch until all ranks are armed for it. If that pass comes too early, the whole
 * group stands still, and every stream has a gap; if it comes too late, passes with the previous map are lost. Not
 * thread-safe; used on the control thread only.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

public class SwitchDuration {
    private var estimate = INITIAL_ESTIMATE
    private var heldSince: Timestamp? = null

    /** Records that a change has entered [phase]. */
    public fun phaseChanged(phase: ChangePhase, now: Timestamp) {
        if (phase is ChangePhase.Holding) heldSince = now
        if (phase is ChangePhase.Idle || phase is ChangePhase.Preparing) heldSince = null
    }

    /** Records that all ranks are armed. Returns how long that took; null if it was recorded before. */
    public fun allArmed(now: Timestamp): Duration? {
        val took = now - (heldSince ?: return null)
        heldSince = null
        estimate = estimate * (1 - WEIGHT) + took * WEIGHT
        return took
    }

    /** Number of passes of [passTime] between the current pass and the one of the switch. */
    public fun marginSteps(passTime: Duration): Long {
        if (passTime <= Duration.ZERO) return MapChange.DEFAULT_MARGIN_STEPS
        return (ceil(estimate / passTime).toLong() + 1).coerceIn(MapChange.DEFAULT_MARGIN_STEPS, MAX_MARGIN)
    }

    private companion object {
        val INITIAL_ESTIMATE: Duration = 200.milliseconds

        /** Weight of the latest switch in the moving average. */
        const val WEIGHT = 0.4

        const val MAX_MARGIN = 12L
    }
}
