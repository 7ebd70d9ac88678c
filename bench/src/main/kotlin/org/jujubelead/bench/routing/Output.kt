/** JSON lines and plots of an experiment below `target/bench/`. */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale

/** One file of JSON lines. */
internal class JsonLines(experiment: String) {
    private val path = outputPath("$experiment.jsonl")
    private val lines = ArrayList<String>()

    fun add(vararg fields: Pair<String, Any?>) {
        lines += fields.joinToString(",", "{", "}") { (name, value) -> "\"$name\":${json(value)}" }
    }

    fun write() {
        Files.write(path, lines)
        println("wrote $path")
    }

    private fun json(value: Any?): String = when (value) {
        null -> "null"
        is Double -> if (value.isFinite()) "%.6f".format(Locale.ROOT, value) else "null"
        is Number, is Boolean -> value.toString()
        else -> "\"" + value.toString().replace("\\", "\\\\").replace("\"", "\\\"") + "\""
    }
}

/** A line of a plot. */
internal class Series(val name: String, val points: List<Pair<Double, Double>>)

/** Writes a line plot with linear axes from zero. */
internal fun writePlot(file: String, title: String, xLabel: String, yLabel: String, series: List<Series>) {
    val points = series.flatMap { it.points }
    val xMax = points.maxOf { it.first }.coerceAtLeast(1e-9)
    val yMax = points.maxOf { it.second }.coerceAtLeast(1e-9)
    fun x(value: Double) = LEFT + value / xMax * PLOT_WIDTH
    fun y(value: Double) = TOP + (1 - value / yMax) * PLOT_HEIGHT
    val svg = StringBuilder()
    svg.append(
        "<svg xmlns='http://www.w3.org/2000/svg' width='760' height='420' font-family='sans-serif' font-size='12'>",
    )
    svg.append("<rect width='760' height='420' fill='white'/>").append(text(LEFT, 20.0, title))
    for (i in 0..TICKS) {
        val part = i.toDouble() / TICKS
        svg.append(text(x(xMax * part) - 10, TOP + PLOT_HEIGHT + 18, "%.3g".format(Locale.ROOT, xMax * part)))
        svg.append(text(8.0, y(yMax * part), "%.3g".format(Locale.ROOT, yMax * part)))
        svg.append(line(LEFT, y(yMax * part), LEFT + PLOT_WIDTH, y(yMax * part)))
    }
    svg.append(text(LEFT + PLOT_WIDTH / 2, TOP + PLOT_HEIGHT + 40, xLabel)).append(text(8.0, 38.0, yLabel))
    series.forEachIndexed { i, one ->
        val color = COLORS[i % COLORS.size]
        val path = one.points.joinToString(" ") { "%.1f,%.1f".format(Locale.ROOT, x(it.first), y(it.second)) }
        svg.append("<polyline points='$path' fill='none' stroke='$color' stroke-width='2'/>")
        val legendY = TOP + 16 + i * 18
        svg.append("<text x='${LEFT + PLOT_WIDTH + 10}' y='$legendY' fill='$color'>${one.name}</text>")
    }
    Files.writeString(outputPath(file), svg.append("</svg>\n"))
}

internal fun outputPath(file: String): Path = Files.createDirectories(Path.of("target", "bench")).resolve(file)

private fun text(x: Double, y: Double, value: String) = "<text x='%.1f' y='%.1f'>%s</text>".format(
    Locale.ROOT,
    x,
    y,
    value,
)

private fun line(x1: Double, y1: Double, x2: Double, y2: Double) =
    "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#ddd'/>".format(Locale.ROOT, x1, y1, x2, y2)

private const val LEFT = 60.0
private const val TOP = 50.0
private const val PLOT_WIDTH = 520.0
private const val PLOT_HEIGHT = 310.0
private const val TICKS = 5
private val COLORS = listOf("#1b6ca8", "#c0392b", "#27864a", "#8e44ad", "#b9770e", "#555555")
