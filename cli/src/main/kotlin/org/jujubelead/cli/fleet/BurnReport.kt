/** Error budget burn rate per workspace, aggregated over all entries. */
package org.jujubelead.cli.fleet

import org.HdrHistogram.Histogram
import org.jujubelead.protocol.BurnWindow
import java.nio.ByteBuffer

private const val P50 = 50.0
private const val P95 = 95.0
private const val P99 = 99.0

/**
 * Figures of one workspace over one window.
 *
 * @property burnRate fraction of requests that were late or failed, divided by the fraction that the objective allows.
 *   At 1, the error budget lasts exactly as long as the period of the objective.
 * @property latency time to the first token, or to the response for a plain service, in milliseconds.
 */
public data class BurnRow(
    val workspace: String,
    val windowSeconds: Int,
    val total: Long,
    val late: Long,
    val failed: Long,
    val burnRate: Double,
    val latency: Histogram,
) {
    public val p50: Long get() = latency.getValueAtPercentile(P50)
    public val p95: Long get() = latency.getValueAtPercentile(P95)
    public val p99: Long get() = latency.getValueAtPercentile(P99)
}

/** Aggregates the windows of all entries. [objective] is the fraction of requests that must be on time. */
public fun burnRows(windows: List<BurnWindow>, objective: Double): List<BurnRow> =
    windows.groupBy { it.workspace to it.windowS }.map { (key, parts) ->
        val (workspace, window) = key
        val latency = parts.map { decode(it) }.reduce { sum, next -> sum.apply { add(next) } }
        val total = parts.sumOf { it.total }
        val late = parts.sumOf { it.late }
        val failed = parts.sumOf { it.failed }
        val lateOrFailed = if (total == 0L) 0.0 else (late + failed).toDouble() / total
        BurnRow(
            workspace = workspace,
            windowSeconds = window,
            total = total,
            late = late,
            failed = failed,
            burnRate = lateOrFailed / (1 - objective),
            latency = latency,
        )
    }.sortedWith(compareBy({ it.windowSeconds }, { -it.burnRate }, { it.workspace }))

private fun decode(window: BurnWindow): Histogram =
    Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(window.histogram.toByteArray()), 0)
        .apply { isAutoResize = true }

/** Formats the report as a text table. */
public fun List<BurnRow>.toText(): String = buildString {
    val rowFormat = "%-20s %7s %9s %7s %7s %6s %7s %7s %7s"
    appendLine(
        rowFormat.format("WORKSPACE", "WINDOW", "REQUESTS", "LATE", "FAILED", "BURN", "P50 ms", "P95 ms", "P99 ms"),
    )
    this@toText.forEach {
        appendLine(
            rowFormat.format(
                it.workspace, "${it.windowSeconds} s", it.total, it.late, it.failed, "%.2f".format(it.burnRate),
                it.p50, it.p95, it.p99,
            ),
        )
    }
}
