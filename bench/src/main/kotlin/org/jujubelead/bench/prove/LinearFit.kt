/** Least-squares line through measured points. */
package org.jujubelead.bench.prove

import kotlin.math.abs

/** One measured point. */
public data class Point(val x: Double, val y: Double)

/**
 * The line `intercept + slope * x`.
 *
 * @property largestResidual largest distance of a point from the line, in units of y.
 */
public data class LinearFit(val intercept: Double, val slope: Double, val largestResidual: Double) {
    public companion object {
        /** Fits [points], which need at least two different x. */
        public fun of(points: List<Point>): LinearFit {
            val meanX = points.map { it.x }.average()
            val meanY = points.map { it.y }.average()
            val spread = points.sumOf { (it.x - meanX) * (it.x - meanX) }
            require(spread > 0) { "a line needs points at different x" }
            val slope = points.sumOf { (it.x - meanX) * (it.y - meanY) } / spread
            val intercept = meanY - slope * meanX
            return LinearFit(intercept, slope, points.maxOf { abs(it.y - intercept - slope * it.x) })
        }
    }
}
