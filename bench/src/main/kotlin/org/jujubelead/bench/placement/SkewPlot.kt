/** Draws skew over time as SVG, one panel per trace. */
package org.jujubelead.bench.placement

import java.util.Locale

private const val WIDTH = 720
private const val PANEL = 170
private const val MARGIN = 30
private const val LEGEND_STEP = 100
private const val TEXT = 15
private val colours = mapOf(
    "static" to "#999999",
    "no-replicas" to "#b08030",
    "recomputed" to "#3060c0",
    "recomputed-matched" to "#90b0f0",
    "skew-first" to "#209050",
    "moves-first" to "#c03030",
    "lower-bound" to "#000000",
)

internal fun skewPlot(figures: List<PlacementFigures>, traces: List<String>): String {
    val panels = traces.mapIndexed { i, trace -> panel(figures.filter { it.trace == trace }, trace, top = i * PANEL) }
    val legend = colours.entries.mapIndexed { i, (label, colour) ->
        """<text x="${MARGIN + i * LEGEND_STEP}" y="${traces.size * PANEL + TEXT}" fill="$colour">$label</text>"""
    }
    val size = """width="$WIDTH" height="${traces.size * PANEL + MARGIN}""""
    val head = """<svg xmlns="http://www.w3.org/2000/svg" $size font-size="12">"""
    return (listOf(head) + panels + legend + "</svg>").joinToString("\n")
}

private fun panel(rows: List<PlacementFigures>, trace: String, top: Int): String {
    val highest = rows.maxOf { it.max }
    val bottom = top + PANEL - MARGIN
    val lines = rows.joinToString("\n") { f ->
        val points = f.skews.mapIndexed { i, skew ->
            val x = MARGIN + i * (WIDTH - 2.0 * MARGIN) / f.skews.size
            val y = bottom - (skew - 1) / (highest - 1) * (PANEL - 2 * MARGIN)
            "%.1f,%.1f".format(Locale.ROOT, x, y)
        }
        """<polyline fill="none" stroke="${colours[f.policy]}" points="${points.joinToString(" ")}"/>"""
    }
    val title = "%s: skew 1 to %.2f".format(Locale.ROOT, trace, highest)
    return """<text x="$MARGIN" y="${top + TEXT}">$title</text>""" + "\n" + lines
}
