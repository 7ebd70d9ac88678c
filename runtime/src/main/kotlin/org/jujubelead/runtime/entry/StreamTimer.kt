/** Compares the times of one model stream with the objectives of its workspace. */
package org.jujubelead.runtime.entry

import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.telemetry.ServiceLevel
import org.jujubelead.settings.EffectiveSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Share of the gaps between tokens that may be longer than the objective: it is stated for 95 in 100. */
private const val LATE_GAPS_ALLOWED = 0.05

/** Owned by the coroutine that serves the request. */
internal class StreamTimer(private val start: Timestamp, values: EffectiveSettings) {
    private val firstObjective = values.firstTokenObjectiveMs.milliseconds
    private val gapObjective = values.tokenGapObjectiveMs.milliseconds
    private var last: Timestamp? = null
    private var gaps = 0
    private var lateGaps = 0

    /** Time to the first token; null before it. */
    var firstToken: Duration? = null
        private set

    fun token(now: Timestamp) {
        val previous = last
        if (previous == null) {
            firstToken = now - start
        } else {
            gaps += 1
            if (now - previous > gapObjective) lateGaps += 1
        }
        last = now
    }

    /** Level of a stream that was answered whole. */
    fun level(): ServiceLevel {
        val first = firstToken ?: return ServiceLevel.ON_TIME
        val late = first > firstObjective || lateGaps > gaps * LATE_GAPS_ALLOWED
        return if (late) ServiceLevel.LATE else ServiceLevel.ON_TIME
    }
}
