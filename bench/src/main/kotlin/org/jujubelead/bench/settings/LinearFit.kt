/** Least-squares line through measured points. */
package org.jujubelead.bench.settings

import kotlin.math.abs

/** The line, and the largest distance of a point from it. */
internal class LinearFit(points: List<Pair<Double, Double>>) {
    val slope: Double
    val intercept: Double
    val largestResidual: Double

    init {
        val meanX = points.map { it.first }.average()
        val meanY = points.map { it.second }.average()
        val spread = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
        slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / spread
        intercept = meanY - slope * meanX
        largestResidual = points.maxOf { (x, y) -> abs(y - at(x)) }
    }

    fun at(x: Double): Double = intercept + slope * x
}
