/** Replays a trace against fakes of engines, through the entries' real decisions. */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.routing.LoadReport
import kotlin.random.Random

internal class Replay(private val trace: List<TraceRequest>, private val options: ReplayOptions) {
    private val events = EventQueue()
    private val random = Random(options.seed)
    private val set = TargetSetId(TargetKind.MODEL, "m")
    private val records = List(options.targets) { i ->
        InstanceRecord(
            InstanceId("t$i"),
            Incarnation("1"),
            zone(i),
            InstanceRole.AGENT,
            "127.0.0.1",
            7000 + i,
            kind = set.kind,
            serves = set.serves,
        )
    }
    private val engines = records.associate { TargetKey(it.id, it.incarnation) to FakeEngine(events) }
    private val entries = List(options.entries) { i ->
        ReplayEntry(events, options, set, engines, zone(i), options.seed * SEED_STEP + i)
    }
    private var imbalance = 0.0
    private var samples = 0

    fun run(): ReplayResult {
        entries.forEach { it.listRead(records) }
        if (options.slowTarget) engines.values.first().slowness = SLOW_FACTOR
        val results = trace.map { RequestResult(it).apply { keyed = random.nextDouble() < options.keyedShare } }
        results.forEach { result -> events.at(result.request.atMicros) { entries.random(random).arrive(result) } }
        options.lostAtMicros?.let { events.at(it) { loseOne() } }
        reports()
        entries.forEachIndexed { i, entry ->
            events.every(PROBE_TICK_MICROS, PROBE_TICK_MICROS + i) {
                entry.probe()
                entry.sendWaiting()
            }
        }
        events.every(SAMPLE_MICROS) { now -> if (now > options.warmUpMicros) sample() }
        events.runUntil(options.endMicros + GRACE_MICROS)
        return result(results.filter { it.request.atMicros in options.warmUpMicros until options.endMicros })
    }

    private fun result(counted: List<RequestResult>) = ReplayResult(
        counted,
        prefixHits = engines.values.sumOf { it.blocksHit }.toDouble() / engines.values.sumOf { it.blocksSeen },
        imbalance = imbalance / samples.coerceAtLeast(1),
        attempts = entries.sumOf { it.attempts },
        retries = entries.sumOf { it.retries },
        seconds = (options.endMicros - options.warmUpMicros) / 1e6,
    )

    private fun loseOne() {
        val (key, engine) = engines.entries.elementAt(1)
        engine.lose()
        entries.forEach { it.targetLost(key) }
    }

    /** Every engine reports to every entry; reports arrive late, and some are missing for two seconds at a time. */
    private fun reports() {
        for ((key, engine) in engines) {
            for (entry in entries) {
                var gapUntil = 0L
                events.every(REPORT_MICROS, random.nextLong(REPORT_MICROS)) { now ->
                    if (random.nextDouble() < GAP_CHANCE) gapUntil = now + GAP_MICROS
                    if (now < gapUntil || engine.lost) return@every
                    val report = LoadReport(engine.runningCount, engine.waitingCount, engine.slots)
                    events.after(options.reportLagMicros + REPORT_DELAY_MICROS) { entry.reported(key, report, now) }
                }
            }
        }
    }

    private fun sample() {
        val loads = engines.values.filter { !it.lost }.map { it.outstanding }
        val mean = loads.average()
        if (mean <= 0) return
        imbalance += loads.max() / mean
        samples++
    }

    companion object {
        private const val ZONES = 3
        private const val SEED_STEP = 7919L
        private const val SLOW_FACTOR = 3.0
        private const val PROBE_TICK_MICROS = 100_000L
        private const val SAMPLE_MICROS = 500_000L

        /** Time after the last counted arrival in which answers still count. */
        private const val GRACE_MICROS = 30_000_000L

        /** Time between loads that an agent sends to one entry; the experiment `membership` counts their bytes. */
        private const val REPORT_MICROS = 1_000_000L
        private const val REPORT_DELAY_MICROS = 500L
        private const val GAP_CHANCE = 0.05
        private const val GAP_MICROS = 2_000_000L

        private fun zone(index: Int) = ZoneId("z${index % ZONES}")

        /**
         * Requests per second that one engine completes from a backlog of [spec]'s requests, taken as random placement
         * on [targets] engines gives them. A fleet's capacity is this times its targets.
         */
        fun capacityPerTarget(spec: TraceSpec, targets: Int): Double {
            val events = EventQueue()
            val engine = FakeEngine(events)
            val random = Random(spec.seed)
            val requests = spec.generate(rate = 100.0, seconds = 600).filter { random.nextInt(targets) == 0 }.iterator()
            var completed = 0
            fun submitNext() {
                if (!requests.hasNext()) return
                val next = requests.next()
                engine.submit(
                    EngineRequest(next.prefixes, next.outputTokens, {}) { now ->
                        if (now > CAPACITY_WARM_UP) completed++
                        submitNext()
                    },
                )
            }
            repeat(engine.slots * 2) { submitNext() }
            events.runUntil(CAPACITY_WARM_UP * 4)
            return completed / (CAPACITY_WARM_UP * 3 / 1e6)
        }

        private const val CAPACITY_WARM_UP = 30_000_000L
    }
}
