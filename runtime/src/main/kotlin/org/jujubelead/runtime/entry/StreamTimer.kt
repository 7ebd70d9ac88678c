/** Measures the latencies of a model stream against the objectives of its workspace. */
package org.jujubelead.runtime.entry

import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.telemetry.ServiceLevel
import org.jujubelead.settings.EffectiveSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Fraction of token gaps that may exceed the objective, which is defined for the 95th percentile. */
private const val MAX_LATE_GAP_FRACTION = 0.05

/** Not thread-safe. Owned by the coroutine that serves the request. */
internal class StreamTimer(private val start: Timestamp, values: EffectiveSettings) {
    private val firstObjective = values.firstTokenObjectiveMs.milliseconds
    private val gapObjective = values.tokenGapObjectiveMs.milliseconds
    private var last: Timestamp? = null
    private var gaps = 0
    private var lateGaps = 0

    /** Time to the first token; null until it arrives. */
    var firstToken: Duration? = null
        private set

    fun recordToken(now: Timestamp) {
        val previous = last
        if (previous == null) {
            firstToken = now - start
        } else {
            gaps += 1
            if (now - previous > gapObjective) lateGaps += 1
        }
        last = now
    }

    /** Service level of a stream that completed. */
    fun level(): ServiceLevel {
        val first = firstToken ?: return ServiceLevel.ON_TIME
        val late = first > firstObjective || lateGaps > gaps * MAX_LATE_GAP_FRACTION
        return if (late) ServiceLevel.LATE else ServiceLevel.ON_TIME
    }
}
