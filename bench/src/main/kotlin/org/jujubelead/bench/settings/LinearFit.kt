/** Least-squares fit of a line to measured points. */
package org.jujubelead.bench.settings

import kotlin.math.abs

/** The fitted line and the maximum absolute residual of the points. */
internal class LinearFit(points: List<Pair<Double, Double>>) {
    val slope: Double
    val intercept: Double
    val maxResidual: Double

    init {
        val meanX = points.map { it.first }.average()
        val meanY = points.map { it.second }.average()
        val sumOfSquares = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
        slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / sumOfSquares
        intercept = meanY - slope * meanX
        maxResidual = points.maxOf { (x, y) -> abs(y - at(x)) }
    }

    fun at(x: Double): Double = intercept + slope * x
}
