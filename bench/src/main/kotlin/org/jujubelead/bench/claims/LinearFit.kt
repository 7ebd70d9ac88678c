/** Least-squares fit of a straight line. */
package org.jujubelead.bench.claims

import kotlin.math.abs

/**
 * The line `intercept + slope * x`.
 *
 * @property residuals measured minus fitted value for each point, in the order of the points.
 */
internal class LinearFit(val intercept: Double, val slope: Double, val residuals: List<Double>) {
    val maxResidual: Double get() = residuals.maxOf { abs(it) }

    fun at(x: Double): Double = intercept + slope * x

    fun format(unit: String): String = "%.4g + %.4g x (%s), residuals %s".format(
        intercept,
        slope,
        unit,
        residuals.joinToString(prefix = "[", postfix = "]") { "%.3g".format(it) },
    )
}

internal fun fitLine(points: List<Pair<Double, Double>>): LinearFit {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val slope =
        points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    val intercept = meanY - slope * meanX
    return LinearFit(intercept, slope, points.map { (x, y) -> y - (intercept + slope * x) })
}
