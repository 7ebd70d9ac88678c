/** Renders the burn rate report as a self-contained HTML page with plots. */
package org.jujubelead.cli.fleet

import kotlin.math.log10
import kotlin.math.min

private const val BAR_WIDTH = 360
private const val BAR_HEIGHT = 14
private const val MAX_BAR_BURN_RATE = 4.0
private const val PLOT_WIDTH = 360
private const val PLOT_HEIGHT = 80
private const val PLOT_DECADES = 5.0
private const val PERCENT = 100.0

private val STYLE = """
    body{font:14px system-ui,sans-serif;margin:2em;color:#222}table{border-collapse:collapse}
    th,td{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}th:first-child,td:first-child{text-align:left}
    .over{fill:#c0392b}.under{fill:#2e86c1}
""".trimIndent()

public fun List<BurnRow>.toHtml(): String = buildString {
    append("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Error budget burn rate</title>")
    append("<style>$STYLE</style><h1>Error budget burn rate</h1>")
    append(
        "<p>The burn rate is the fraction of late or failed requests divided by the fraction that the objective " +
            "allows. Above 1, the error budget is used up early. ",
    )
    append("Latency is the time to the first token, or to the response for a plain service.</p>")
    this@toHtml.groupBy { it.windowSeconds }.forEach { (window, rows) ->
        append("<h2>Last $window s</h2><table><tr><th>Workspace<th>Requests<th>Late<th>Failed<th>Burn<th>")
        append("<th>p50 ms<th>p95 ms<th>p99 ms<th>Requests within a latency (1 ms to 100 s, logarithmic)</tr>")
        rows.forEach { append(it.toTableRow()) }
        append("</table>")
    }
    append("</html>")
}

private fun BurnRow.toTableRow(): String =
    "<tr><td>${escape(workspace)}<td>$total<td>$late<td>$failed<td>%.2f".format(burnRate) +
        "<td>${burnRateBar()}<td>$p50<td>$p95<td>$p99<td>${latencyPlot()}</tr>"

private fun BurnRow.burnRateBar(): String {
    val width = (BAR_WIDTH * min(burnRate, MAX_BAR_BURN_RATE) / MAX_BAR_BURN_RATE).toInt()
    val limit = (BAR_WIDTH / MAX_BAR_BURN_RATE).toInt()
    val style = if (burnRate > 1) "over" else "under"
    return "<svg width=\"$BAR_WIDTH\" height=\"$BAR_HEIGHT\">" +
        "<rect class=\"$style\" width=\"$width\" height=\"$BAR_HEIGHT\"/>" +
        "<line x1=\"$limit\" x2=\"$limit\" y2=\"$BAR_HEIGHT\" stroke=\"#222\"/></svg>"
}

private fun BurnRow.latencyPlot(): String {
    val points = latency.percentiles(1).joinToString(" ") { value ->
        val x = PLOT_WIDTH * log10(value.valueIteratedTo.coerceAtLeast(1).toDouble()) / PLOT_DECADES
        val y = PLOT_HEIGHT * (1 - value.percentileLevelIteratedTo / PERCENT)
        "%.1f,%.1f".format(min(x, PLOT_WIDTH.toDouble()), y)
    }
    return "<svg width=\"$PLOT_WIDTH\" height=\"$PLOT_HEIGHT\">" +
        "<polyline fill=\"none\" stroke=\"#2e86c1\" points=\"0,$PLOT_HEIGHT $points\"/></svg>"
}

private fun escape(text: String) = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")
