/**
 * Measures the processor time and memory allocation of a call.
 *
 * JMH is not used, because its annotation processor does not see Kotlin classes in this build. The measurement warms up
 * and takes the median of many batches. It alternates between the sizes, so that a busy machine affects all of them
 * equally.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.membership

import java.lang.management.ManagementFactory

/** @property nanos processor time per call. @property bytes allocated per call. */
internal data class Cost(val nanos: Double, val bytes: Double)

private val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean

/** Returns the costs of [calls] by size. The result of each call is stored, so that the call is not optimized away. */
internal fun measure(calls: Map<Int, () -> Any?>, rounds: Int, batch: Int): Map<Int, Cost> {
    repeat(WARM_UP_ROUNDS) { calls.values.forEach { runBatch(it, batch) } }
    val samples = calls.mapValues { ArrayList<Cost>() }
    repeat(rounds) { calls.forEach { (size, call) -> samples.getValue(size) += runBatch(call, batch) } }
    return samples.mapValues { (_, costs) -> Cost(median(costs.map { it.nanos }), median(costs.map { it.bytes })) }
}

private const val WARM_UP_ROUNDS = 5
private var sink: Any? = null

private fun runBatch(call: () -> Any?, batch: Int): Cost {
    val id = Thread.currentThread().id
    val bytes = threads.getThreadAllocatedBytes(id)
    val nanos = threads.currentThreadCpuTime
    repeat(batch) { sink = call() }
    return Cost(
        (threads.currentThreadCpuTime - nanos).toDouble() / batch,
        (threads.getThreadAllocatedBytes(id) - bytes).toDouble() / batch,
    )
}

private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]

/** Least-squares fit of a line to [points]. [residual] is the maximum residual relative to the maximum value. */
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
