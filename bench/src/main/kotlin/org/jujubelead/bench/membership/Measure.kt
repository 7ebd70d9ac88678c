/**
 * Processor time and allocation of one call.
 *
 * JMH needs its annotation processor, which does not see Kotlin classes in this build. This loop warms up, then takes
 * the median of many batches, and measures the sizes in turn so that a busy machine disturbs all of them alike.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.membership

import java.lang.management.ManagementFactory

/** @property nanos processor time per call. @property bytes allocated per call. */
internal data class Cost(val nanos: Double, val bytes: Double)

private val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean

/** Costs of [calls] by size; a call returns a value that is kept, so that it is not optimised away. */
internal fun measure(calls: Map<Int, () -> Any?>, rounds: Int, batch: Int): Map<Int, Cost> {
    repeat(WARM_UP_ROUNDS) { calls.values.forEach { run(it, batch) } }
    val samples = calls.mapValues { ArrayList<Cost>() }
    repeat(rounds) { calls.forEach { (size, call) -> samples.getValue(size) += run(call, batch) } }
    return samples.mapValues { (_, costs) -> Cost(median(costs.map { it.nanos }), median(costs.map { it.bytes })) }
}

private const val WARM_UP_ROUNDS = 5
private var kept: Any? = null

private fun run(call: () -> Any?, batch: Int): Cost {
    val id = Thread.currentThread().id
    val bytes = threads.getThreadAllocatedBytes(id)
    val nanos = threads.currentThreadCpuTime
    repeat(batch) { kept = call() }
    return Cost(
        (threads.currentThreadCpuTime - nanos).toDouble() / batch,
        (threads.getThreadAllocatedBytes(id) - bytes).toDouble() / batch,
    )
}

private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]

/** A straight line through [points] with the largest distance of a point from it, relative to the largest value. */
internal class LinearFit(points: List<Pair<Double, Double>>) {
    private val meanX = points.map { it.first }.average()
    private val meanY = points.map { it.second }.average()
    val slope = points.sumOf { (it.first - meanX) * (it.second - meanY) } /
        points.sumOf { (it.first - meanX) * (it.first - meanX) }
    val offset = meanY - slope * meanX
    val residual =
        points.maxOf { kotlin.math.abs(it.second - at(it.first)) } / points.maxOf { kotlin.math.abs(it.second) }

    fun at(x: Double): Double = offset + slope * x
}
