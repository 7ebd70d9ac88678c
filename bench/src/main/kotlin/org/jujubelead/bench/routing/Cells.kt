/** Replays of one setting over several traces, run on a few threads. */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future

/** Means over the traces of a cell of a results table. */
internal class Cell(results: List<ReplayResult>) {
    val late = results.map { it.late }.average()
    val refused = results.map { it.refused }.average()
    val p50 = results.map { it.quantile(0.5) }.average()
    val p95 = results.map { it.quantile(0.95) }.average()
    val p99 = results.map { it.quantile(0.99) }.average()
    val prefixHits = results.map { it.prefixHits }.average()
    val imbalance = results.map { it.imbalance }.average()
    val requests = results.sumOf { it.requests.size }
}

/** Threads for independent replays; the results do not depend on their number. */
internal class ReplayPool : AutoCloseable {
    private val threads = Executors.newFixedThreadPool(THREADS) { task -> Thread(task).apply { isDaemon = true } }

    fun <T> start(task: () -> T): Future<T> = threads.submit(Callable { task() })

    override fun close() {
        threads.shutdown()
    }

    private companion object {
        const val THREADS = 2
    }
}
