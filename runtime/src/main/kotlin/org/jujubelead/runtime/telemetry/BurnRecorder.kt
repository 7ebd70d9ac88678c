/**
 * Error-budget burn per workspace: counts of on-time, late and failed requests, and a histogram of their latencies.
 *
 * Each workspace has up to 60 one-minute buckets, which are summed for windows of up to one hour. Histograms of several
 * entries can be merged.
 */
package org.jujubelead.runtime.telemetry

import org.HdrHistogram.Histogram
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Longer latencies are recorded as this value. */
private const val MAX_LATENCY_MILLIS = 600_000L
private const val SIGNIFICANT_DIGITS = 2
private const val BUCKETS = 60
private val BUCKET_LENGTH: Duration = 1.minutes
private const val MICROS_PER_MINUTE = 60_000_000L

/** Result of a request relative to its service-level objective. */
public enum class ServiceLevel { ON_TIME, LATE, FAILED }

/**
 * Totals of a window. [latency] is in milliseconds: the time to the first token of a model request, or to the answer of
 * a service call.
 */
public class BurnSum(
    public val total: Long,
    public val late: Long,
    public val failed: Long,
    public val latency: Histogram,
)

/** Thread-safe. */
public class BurnRecorder(private val now: () -> Timestamp) {
    private class Bucket(val minute: Long) {
        var total = 0L
        var late = 0L
        var failed = 0L
        val latency = Histogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS).apply { isAutoResize = true }
    }

    private val rings = HashMap<WorkspaceId, ArrayDeque<Bucket>>()

    /** Records a finished request. */
    public fun record(workspace: WorkspaceId, level: ServiceLevel, latency: Duration): Unit = synchronized(rings) {
        val minute = now().micros / MICROS_PER_MINUTE
        val ring = rings.getOrPut(workspace) { ArrayDeque() }
        if (ring.lastOrNull()?.minute != minute) ring.addLast(Bucket(minute))
        while (ring.size > BUCKETS) ring.removeFirst()
        val bucket = ring.last()
        bucket.total += 1
        if (level == ServiceLevel.LATE) bucket.late += 1
        if (level == ServiceLevel.FAILED) bucket.failed += 1
        bucket.latency.recordValue(latency.inWholeMilliseconds.coerceIn(0, MAX_LATENCY_MILLIS))
    }

    /** Workspaces with requests in the last hour. */
    public fun workspaces(): Set<WorkspaceId> = synchronized(rings) {
        val oldest = now().micros / MICROS_PER_MINUTE - BUCKETS + 1
        rings.values.removeIf { it.last().minute < oldest }
        rings.keys.toSet()
    }

    /** Sums the last [window] of a workspace, rounded up to whole minutes. */
    public fun sum(workspace: WorkspaceId, window: Duration): BurnSum = synchronized(rings) {
        val first = now().micros / MICROS_PER_MINUTE - ceil(window / BUCKET_LENGTH).toLong() + 1
        val latency = Histogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS)
        val buckets = rings[workspace].orEmpty().filter { it.minute >= first }
        buckets.forEach { latency.add(it.latency) }
        BurnSum(
            total = buckets.sumOf { it.total },
            late = buckets.sumOf { it.late },
            failed = buckets.sumOf { it.failed },
            latency = latency,
        )
    }
}
