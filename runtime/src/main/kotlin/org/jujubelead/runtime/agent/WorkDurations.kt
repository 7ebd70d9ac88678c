/** How long attempts take on the target, which says how early a drain has to start. */
package org.jujubelead.runtime.agent

import org.HdrHistogram.ConcurrentHistogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val LONGEST_MILLIS = 3_600_000L
private const val SIGNIFICANT_DIGITS = 2
private const val PERCENTILE = 99.0

/** Attempts needed before the percentile says something. */
private const val ENOUGH = 100L

/** Thread-safe. */
public class WorkDurations {
    private val histogram = ConcurrentHistogram(LONGEST_MILLIS, SIGNIFICANT_DIGITS)

    public fun record(duration: Duration) {
        histogram.recordValue(duration.inWholeMilliseconds.coerceIn(0, LONGEST_MILLIS))
    }

    /** The 99th percentile; null before enough attempts have ended. */
    public fun p99(): Duration? =
        if (histogram.totalCount < ENOUGH) null else histogram.getValueAtPercentile(PERCENTILE).milliseconds
}
