/**
 * Measures the distribution of settings: the time from acceptance to being in force everywhere, bytes, and calls to the
 * key-value service as functions of the number of processes, extrapolated to the design size by linear fits.
 *
 * All processes share one JVM, so the time includes the work that 8,300 machines would do at the same time.
 */
package org.jujubelead.bench.settings

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.settings.MAX_PROPAGATION_DELAY
import org.jujubelead.settings.SettingsEdit
import org.jujubelead.settings.SettingsStore
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueService
import java.lang.management.ManagementFactory
import java.time.Instant
import kotlin.random.Random

private const val CHANGES_PER_DAY = 19_000.0
private const val CHANGES_PER_SECOND = CHANGES_PER_DAY / 86_400.0
private const val MAX_BYTES_PER_SECOND = 6_000.0

/**
 * Number of workspaces in the measurement. Every process keeps its own tree in the same heap. With 340 workspaces,
 * garbage collections paused all processes for seconds.
 */
private const val WORKSPACES = 60
private const val QUICK_CHANGES = 10
private const val FULL_CHANGES = 20
private val quickSizes = listOf(200, 400, 600, 800)
private val fullSizes = listOf(500, 1_000, 2_000, 4_000)
internal const val NANOS_PER_MILLI = 1_000_000.0
private const val P50 = 50.0
private const val P99 = 99.0
private const val SIGNIFICANT_DIGITS = 3
private const val IDLE_MS = 8_000L
private const val WAIT_INTERVAL_MS = 500L
private const val SETTLE_TIME_MS = 3_000L

/** Bytes sent and received by a process: per second without changes, and per change. */
internal data class ByteFigures(val quietPerSecond: Double, val perChange: Double) {
    /** Bytes per second at the design rate of changes. */
    val perSecond: Double get() = quietPerSecond + CHANGES_PER_SECOND * perChange
}

/** Results for one number of processes. Times are in milliseconds. */
internal data class SettingsFigures(
    val processes: Int,
    val p50: Double,
    val p99: Double,
    val max: Double,
    val bytes: Map<FleetPart, ByteFigures>,
    val maxBytesPerSecond: Double,
    val garbageMs: Long,
    val quietReadsPerSecond: Double,
    val readsPerChange: Double,
    val writesPerChange: Double,
)

public class SettingsExperiment : Experiment {
    override val name: String = "settings"

    override fun run(options: ExperimentOptions): Boolean {
        val sizes = if (options.quick) quickSizes else fullSizes
        val changes = if (options.quick) QUICK_CHANGES else FULL_CHANGES
        println("settings: $WORKSPACES workspaces, $changes changes for each size, seed ${options.seed}")
        println("The first size runs twice; the first run is not counted, because the code is not compiled yet.")
        measure(sizes.first(), changes, options.seed)
        val figures = sizes.map { size -> measure(size, changes, options.seed).also { print(it) } }
        fit("p99 ms", figures) { it.p99 }
        val time = fit("max ms", figures) { it.max }
        FleetPart.entries.forEach { part -> fit("$part B/s", figures) { it.bytes.getValue(part).perSecond } }
        fit("reads/s", figures) { it.quietReadsPerSecond + CHANGES_PER_SECOND * it.readsPerChange }
        fit("writes/s", figures) { CHANGES_PER_SECOND * it.writesPerChange }
        val layoutMet = SettingsLayoutReport(options.seed).print()
        val timeMet = time.at(TARGET_PROCESSES.toDouble()) <= MAX_PROPAGATION_DELAY.inWholeMilliseconds
        // The number of relays is fixed, so the share of each other entry instance falls with the size, and a linear
        // fit would underestimate it. The largest measured size is the closest to the design size.
        val bytesMet = figures.last().maxBytesPerSecond <= MAX_BYTES_PER_SECOND
        println("in force everywhere within $MAX_PROPAGATION_DELAY at the target size: $timeMet")
        println("at most ${MAX_BYTES_PER_SECOND.toInt()} B/s at any process of the largest size: $bytesMet")
        return timeMet && bytesMet && layoutMet
    }

    private fun print(f: SettingsFigures) {
        println("%d processes: in force after p50 %.1f, p99 %.1f, max %.1f ms".format(f.processes, f.p50, f.p99, f.max))
        println("  all stopped for collection of garbage for ${f.garbageMs} ms while changes were made")
        f.bytes.forEach { (part, bytes) ->
            val values = arrayOf<Any>(part, bytes.quietPerSecond, bytes.perChange, bytes.perSecond)
            println("  %-6s %6.0f B/s without changes, %6.0f B a change, %6.0f B/s at 19,000 a day".format(*values))
        }
        println("  largest of all processes %.0f B/s at 19,000 a day".format(f.maxBytesPerSecond))
        val calls = arrayOf(f.quietReadsPerSecond, f.readsPerChange, f.writesPerChange)
        println("  key-value calls: %.1f reads/s without changes, %.1f reads and %.1f writes a change".format(*calls))
    }

    private fun fit(what: String, figures: List<SettingsFigures>, value: (SettingsFigures) -> Double): LinearFit {
        val fit = LinearFit(figures.map { it.processes.toDouble() to value(it) })
        val target = fit.at(TARGET_PROCESSES.toDouble())
        val line = "%-10s = %.2f + %.6f * processes; largest residual %.2f; at %d processes: %.1f"
        println(line.format(what, fit.intercept, fit.slope, fit.maxResidual, TARGET_PROCESSES, target))
        return fit
    }

    private fun measure(size: Int, changes: Int, seed: Long): SettingsFigures = runBlocking {
        val service = KeyValueService()
        val store = SettingsStore(InMemoryKeyValueStore(service, System::currentTimeMillis), Random(seed))
        var tree = sampleTree(WORKSPACES, seed)
        suspend fun apply(revision: Long) {
            val base = (revision - 1).takeIf { it > 0 }?.let(::Revision)
            val edit = SettingsEdit(OperationId("op-$revision"), "bench", "change", Instant.now(), base, tree)
            store.apply(edit).getOrElse { error("revision $revision was not accepted: $it") }
        }
        apply(1)
        val fleet = CountedFleet(size, service, seed)
        val job = Job()
        fleet.start(CoroutineScope(Dispatchers.Default + job))
        while (!fleet.isRunningAt(1)) delay(WAIT_INTERVAL_MS)
        delay(SETTLE_TIME_MS)

        val quiet = Meter(fleet, service)
        delay(IDLE_MS)
        val background = quiet.read()
        val loaded = Meter(fleet, service)
        val accepted = ArrayList<Long>()
        repeat(changes) { n ->
            tree = tree.withShare(workspace = n % WORKSPACES, share = 1.0 + n)
            val revision = n + 2L
            accepted += acceptedAt(service) { apply(revision) }
            delay(WAIT_INTERVAL_MS)
        }
        delay(SETTLE_TIME_MS)
        val total = loaded.read()
        job.cancelAndJoin()
        figures(size, fleet, accepted, background, total)
    }

    /** Runs [apply] and returns the time at which the key-value service wrote the root record. */
    private suspend fun acceptedAt(service: KeyValueService, apply: suspend () -> Unit): Long {
        var time = 0L
        service.listen { key -> if (key == "settings/root") time = System.nanoTime() }.use { apply() }
        return time
    }

    private fun figures(
        size: Int,
        fleet: CountedFleet,
        accepted: List<Long>,
        quiet: Usage,
        total: Usage,
    ): SettingsFigures {
        val times = Histogram(SIGNIFICANT_DIGITS)
        accepted.forEachIndexed { n, at ->
            fleet.arrivals.forEach { of ->
                val arrival = of.firstOrNull { it.revision >= n + 2L } ?: error("revision ${n + 2} did not arrive")
                times.recordValue(maxOf(0L, arrival.nanos - at))
            }
        }
        val perChange = total.seconds / accepted.size
        val bytes = quiet.bytesPerSecond.zip(total.bytesPerSecond) { q, t -> ByteFigures(q, (t - q) * perChange) }
        return SettingsFigures(
            processes = size,
            p50 = times.getValueAtPercentile(P50) / NANOS_PER_MILLI,
            p99 = times.getValueAtPercentile(P99) / NANOS_PER_MILLI,
            max = times.maxValue / NANOS_PER_MILLI,
            bytes = bytes.indices.groupBy { fleet.part(it) }.toSortedMap().mapValues { (_, of) ->
                ByteFigures(of.map { bytes[it].quietPerSecond }.average(), of.map { bytes[it].perChange }.average())
            },
            garbageMs = total.garbageMs,
            maxBytesPerSecond = bytes.maxOf { it.perSecond },
            quietReadsPerSecond = quiet.readsPerSecond,
            readsPerChange = (total.readsPerSecond - quiet.readsPerSecond) * perChange,
            writesPerChange = total.writesPerSecond * perChange,
        )
    }
}

/** Rates over an interval. */
internal class Usage(
    val seconds: Double,
    val garbageMs: Long,
    val bytesPerSecond: List<Double>,
    val readsPerSecond: Double,
    val writesPerSecond: Double,
)

/** Computes rates from the counters at the start and the end of an interval. */
private class Meter(private val fleet: CountedFleet, private val service: KeyValueService) {
    private val start = System.nanoTime()
    private val bytes = fleet.bytes()
    private val counts = service.counts()
    private val garbage = garbageMs()

    private fun garbageMs(): Long = ManagementFactory.getGarbageCollectorMXBeans().sumOf { it.collectionTime }

    fun read(): Usage {
        val seconds = (System.nanoTime() - start) / (NANOS_PER_MILLI * 1_000)
        val now = service.counts()
        return Usage(
            seconds = seconds,
            garbageMs = garbageMs() - garbage,
            bytesPerSecond = fleet.bytes().zip(bytes) { after, before -> (after - before) / seconds },
            readsPerSecond = (now.reads - counts.reads) / seconds,
            writesPerSecond = (now.writes - counts.writes) / seconds,
        )
    }
}
