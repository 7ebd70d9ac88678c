/**
 * Cost of claims: writes, latency and bytes as a function of the rate of keyed calls, the duration of a take-over as a
 * function of the number of claims, and the recovery after an outage. All runs use virtual time and the in-memory
 * key-value service with its rate limits.
 */
package org.jujubelead.bench.claims

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.claims.ClaimSettings
import org.jujubelead.core.claim.Claim
import org.jujubelead.core.claim.ClaimIndex
import org.jujubelead.core.claim.ShardLimits
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

// Design limits: rate limits of the key-value service, peak load, time to first token, memory of a process.
private const val WRITE_LIMIT = 400.0
private const val READ_LIMIT = 2_000.0
private const val PEAK_RATE = 34_000.0
private const val FIRST_TOKEN_MS = 690.0
private const val MAX_MEMORY_MB = 128.0

private const val SHARDS = 12
private const val SECONDS_PER_DAY = 86_400.0

/** Rates of keyed calls per second for which the results are extrapolated. */
private val KEYED_RATES = listOf(1.0, 10.0, 100.0, 1_000.0, PEAK_RATE)

/** Memory budget for the claims of one shard. The heap of a process is 48 MB. */
private const val SHARD_MEMORY_BUDGET_MB = 24.0

/** Rate during the outage, in calls per second. */
private const val OUTAGE_RATE = 2_000.0

/** Rate at which a shard is filled before its take-over, in calls per second. */
private const val FILL_RATE = 20_000.0
private const val HEAP_SAMPLE_CLAIMS = 200_000
private const val GC_ROUNDS = 3
private const val CHUNK_BYTES = 900_000.0
private const val MB = 1e6
private const val GB = 1e9
private const val MILLIS_PER_SECOND = 1_000.0
private const val NANOS_PER_MILLI = 1_000_000L
private const val PERCENT_50 = 50.0
private const val PERCENT_99 = 99.0

private val POLL_INTERVAL = 10.milliseconds

/** Time after which all shards have an owner. */
private val WARM_UP_DURATION = 5.seconds

private val CALL_RATES = listOf(100.0, 1_000.0, 5_000.0, 15_000.0, PEAK_RATE)
private val CLAIM_COUNTS = listOf(50_000, 100_000, 200_000, 400_000)

/** Limits that admit the largest number of claims of a measured take-over. */
private val HIGH_LIMITS = ShardLimits(maxClaims = 10_000_000)

/** Measures the cost of claims and compares it with the design limits. */
public class ClaimExperiment : Experiment {
    private class RateRow(
        val rate: Double,
        val writes: Double,
        val p50: Long,
        val p99: Long,
        val logBytes: Double,
        val chunkBytes: Double,
        val refused: Long,
        val limited: Long,
    )

    private class TakeOverRow(val claims: Int, val reads: Int, val virtualMs: Long, val realMs: Long)

    private data class OutageRow(
        val peakReads: Int,
        val peakWrites: Int,
        val limited: Long,
        val refused: Long,
        val uncertain: Long,
        val grantedDuring: Long,
        val firstGrantMs: Long,
        val allServedMs: Long,
    )

    override val name: String = "claims"

    override fun run(options: ExperimentOptions): Boolean {
        // Runs first, because the heap must hold nothing that could be collected during this measurement.
        val heap = heapPerClaim(options.seed)
        val rates = CALL_RATES.map { measureAtRate(it, if (options.quick) 3.seconds else 10.seconds, options.seed) }
        println("rate/s  writes/s  p50 ms  p99 ms  entry B/claim  chunk B/claim  refused  limited")
        rates.forEach {
            val row = "%6.0f %9.1f %7d %7d %14.1f %14.1f %8d %8d"
            println(row.format(it.rate, it.writes, it.p50, it.p99, it.logBytes, it.chunkBytes, it.refused, it.limited))
        }
        val takeOvers = (if (options.quick) CLAIM_COUNTS.take(2) else CLAIM_COUNTS).map { takeOver(it, options.seed) }
        println("claims  reads  take-over ms (virtual)  ms of real time")
        takeOvers.forEach { println("%6d %6d %23d %16d".format(it.claims, it.reads, it.virtualMs, it.realMs)) }
        val outage = outage(options)
        println("$outage")
        println("heap of the index: %.0f B/claim".format(heap))
        writeLines(rates, takeOvers, outage, heap)
        return report(rates, takeOvers, outage, heap)
    }

    private fun writeLines(rates: List<RateRow>, takeOvers: List<TakeOverRow>, outage: OutageRow, heap: Double) {
        val file = File("target/bench/claims.jsonl").apply { parentFile.mkdirs() }
        val lines = rates.map {
            """{"rate":${it.rate},"writes":${it.writes},"p50Ms":${it.p50},"p99Ms":${it.p99},""" +
                """"entryBytes":${it.logBytes},"chunkBytes":${it.chunkBytes},"refused":${it.refused}}"""
        } + takeOvers.map {
            """{"claims":${it.claims},"reads":${it.reads},"virtualMs":${it.virtualMs},"realMs":${it.realMs}}"""
        } + """{"outagePeakReads":${outage.peakReads},"outagePeakWrites":${outage.peakWrites},"heapBytes":$heap}"""
        file.writeText(lines.joinToString("\n", postfix = "\n"))
    }

    private fun measureAtRate(rate: Double, span: Duration, seed: Long): RateRow = inVirtualTime {
        val fleet = VirtualFleet(this, ClaimSettings(shards = SHARDS, limits = HIGH_LIMITS), seed)
        fleet.start()
        delay(WARM_UP_DURATION)
        val before = fleet.service.counts()
        val started = currentTime
        val counts = fleet.load(rate, span)
        val seconds = (currentTime - started) / MILLIS_PER_SECOND
        val after = fleet.service.counts()
        RateRow(
            rate = rate,
            writes = (after.writes - before.writes) / seconds,
            p50 = counts.latency.getValueAtPercentile(PERCENT_50),
            p99 = counts.latency.getValueAtPercentile(PERCENT_99),
            logBytes = fleet.logBytes().toDouble() / counts.granted,
            chunkBytes = fleet.chunkBytesPerClaim(),
            refused = counts.unavailable + counts.uncertain + counts.other,
            limited = after.limited - before.limited,
        )
    }

    /** Stops the owner of a shard with [claims] claims and measures the take-over by another instance. */
    private fun takeOver(claims: Int, seed: Long): TakeOverRow = inVirtualTime {
        val fleet = VirtualFleet(this, ClaimSettings(shards = 1, limits = HIGH_LIMITS), seed)
        fleet.start()
        delay(WARM_UP_DURATION)
        fleet.load(FILL_RATE, claims.seconds / FILL_RATE)
        fleet.stop(checkNotNull(fleet.lastOwner) { "no instance took over within the warm-up" })
        val takeOversBefore = fleet.takeOvers.size
        val realStart = System.nanoTime()
        while (fleet.takeOvers.size == takeOversBefore) delay(POLL_INTERVAL)
        val realMs = (System.nanoTime() - realStart) / NANOS_PER_MILLI
        val last = fleet.takeOvers.last()
        TakeOverRow(last.claims, last.reads, (last.ended - last.started).inWholeMilliseconds, realMs)
    }

    /** Makes the key-value service unreachable for 20 s under load, while all shards have an owner. */
    private fun outage(options: ExperimentOptions): OutageRow = inVirtualTime {
        val fleet = VirtualFleet(this, ClaimSettings(shards = SHARDS, limits = HIGH_LIMITS), options.seed)
        fleet.start()
        delay(WARM_UP_DURATION)
        fleet.load(OUTAGE_RATE, 5.seconds)
        fleet.faults.reachable = false
        val during = fleet.load(OUTAGE_RATE, 20.seconds)
        check(during.granted == 0L || during.lastGrantMillis < currentTime) {
            "a claim was granted while the key-value service was unreachable"
        }
        val restored = currentTime
        fleet.faults.reachable = true
        val peakRecorder = fleet.recordPeakRates()
        val after = fleet.load(OUTAGE_RATE, 15.seconds)
        peakRecorder.cancel()
        val counts = fleet.service.counts()
        OutageRow(
            peakReads = fleet.peakReads,
            peakWrites = fleet.peakWrites,
            limited = counts.limited,
            refused = during.unavailable,
            uncertain = during.uncertain,
            grantedDuring = during.granted,
            firstGrantMs = after.firstGrantMillis - restored,
            allServedMs = after.lastRefusalMillis - restored,
        )
    }

    /** Returns the heap size of the owner's index per claim, in bytes. */
    private fun heapPerClaim(seed: Long): Double {
        var bytes = 0.0
        inVirtualTime {
            val fleet = VirtualFleet(this, ClaimSettings(shards = 1), seed)
            val index = ClaimIndex()
            val before = usedHeap()
            repeat(HEAP_SAMPLE_CLAIMS) { i ->
                val request = fleet.newRequest()
                index.apply(
                    Claim(request.key, request.requestHash, request.claimant, fleet.wall() + 24.hours),
                    i.toLong(),
                )
            }
            bytes = (usedHeap() - before).toDouble() / index.size
        }
        return bytes
    }

    private fun usedHeap(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun report(rates: List<RateRow>, takeOvers: List<TakeOverRow>, outage: OutageRow, heap: Double): Boolean {
        val writes = fitLine(rates.map { it.rate to it.writes })
        val reads = fitLine(takeOvers.map { it.claims.toDouble() to it.reads.toDouble() })
        val time = fitLine(takeOvers.map { it.claims.toDouble() to it.virtualMs.toDouble() })
        println("writes/s against rate: ${writes.format("1/s")}")
        val saturated = fitLine(rates.drop(1).map { it.rate to it.writes })
        println("writes/s against rate from ${rates[1].rate}/s: ${saturated.format("1/s")}")
        println("reads of a take-over against claims: ${reads.format("reads")}")
        println("time of a take-over against claims: ${time.format("ms")}")
        val stored = rates.last().chunkBytes
        println("24 h of claims in $SHARDS shards:")
        println("keyed/s  claims/shard  stored GB  heap MB/shard  chunks/shard  take-over reads  take-over s")
        for (rate in KEYED_RATES) {
            val perShard = rate * SECONDS_PER_DAY / SHARDS
            println(
                "%7.0f %13.0f %10.2f %14.1f %13.0f %16.0f %12.1f".format(
                    rate,
                    perShard,
                    perShard * SHARDS * stored / GB,
                    perShard * heap / MB,
                    perShard * stored / CHUNK_BYTES,
                    reads.at(perShard),
                    time.at(perShard) / MILLIS_PER_SECOND,
                ),
            )
        }
        val rateInMemory = SHARD_MEMORY_BUDGET_MB * MB / heap / SECONDS_PER_DAY * SHARDS
        println("keyed rate at which 24 h of one shard fill $SHARD_MEMORY_BUDGET_MB MB: %.0f/s".format(rateInMemory))
        return listOf(
            checkBudget("writes/s at all rates", rates.maxOf { it.writes }, WRITE_LIMIT),
            checkBudget("p99 ms of a claim at all rates", rates.maxOf { it.p99 }.toDouble(), FIRST_TOKEN_MS),
            checkBudget(
                "calls refused for the rate limit",
                (
                    rates.sumOf {
                        it.limited
                    } + outage.limited
                    ).toDouble(),
                0.0,
            ),
            checkBudget("peak reads/s after an outage", outage.peakReads.toDouble(), READ_LIMIT),
            checkBudget("peak writes/s after an outage", outage.peakWrites.toDouble(), WRITE_LIMIT),
            checkBudget(
                "heap MB/shard, 24 h at the peak rate",
                PEAK_RATE * SECONDS_PER_DAY / SHARDS * heap / MB,
                MAX_MEMORY_MB,
            ),
        ).all { it }
    }

    private fun checkBudget(what: String, value: Double, budget: Double): Boolean {
        val within = value <= budget
        println("%-40s %12.1f of %8.1f  %s".format(what, value, budget, if (within) "within" else "OVER BUDGET"))
        return within
    }

    private fun <T> inVirtualTime(body: suspend TestScope.() -> T): T {
        var result: T? = null
        runTest(timeout = 10.minutes) { result = body() }
        return checkNotNull(result) { "the run in virtual time returned no result" }
    }
}
