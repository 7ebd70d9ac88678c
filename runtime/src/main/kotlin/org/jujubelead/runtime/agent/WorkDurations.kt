/** Durations of attempts on the target, which determine how early a drain has to start. */
package org.jujubelead.runtime.agent

import org.HdrHistogram.ConcurrentHistogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_DURATION_MILLIS = 3_600_000L
private const val SIGNIFICANT_DIGITS = 2
private const val PERCENTILE = 99.0

/** Attempts required before the percentile is meaningful. */
private const val MIN_SAMPLES = 100L

/** Thread-safe. */
public class WorkDurations {
    private val histogram = ConcurrentHistogram(MAX_DURATION_MILLIS, SIGNIFICANT_DIGITS)

    public fun record(duration: Duration) {
        histogram.recordValue(duration.inWholeMilliseconds.coerceIn(0, MAX_DURATION_MILLIS))
    }

    /** Returns the 99th percentile; null until enough attempts have ended. */
    public fun p99(): Duration? =
        if (histogram.totalCount < MIN_SAMPLES) null else histogram.getValueAtPercentile(PERCENTILE).milliseconds
}
