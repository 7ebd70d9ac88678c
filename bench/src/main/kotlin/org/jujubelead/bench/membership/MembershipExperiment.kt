/** Costs of decisions and updates by number of targets, and of load information at the design size. */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.membership

import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.bench.routing.JsonLines
import org.jujubelead.bench.routing.Series
import org.jujubelead.bench.routing.writePlot
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.FailureKind
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.MembershipEvent
import org.jujubelead.core.membership.MembershipView
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.routing.LoadReport
import org.jujubelead.core.routing.LoadTable
import org.jujubelead.core.routing.RoutingDecision
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.core.routing.TwoChoices
import org.jujubelead.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

public class MembershipExperiment : Experiment {
    override val name: String = "membership"

    /** The membership view of an instance with [size] targets of one set. All have load reports, some have requests. */
    private class TestView(size: Int, seed: Long) {
        val set = TargetSetId(TargetKind.MODEL, "m")
        val random = Random(seed)
        val records = records(size)
        val table = LoadTable(ZoneId("z0"), seed)
        var now = Timestamp(1_000_000)
        val view = MembershipView().update(MembershipEvent.ListRead(records, now), now)
        val targets = view.candidates(set, now)
        val policy = TwoChoices()
        val requests = List(256) { i ->
            RoutingRequest(
                set,
                LongArray(30) { block ->
                    if (block <
                        10
                    ) {
                        block * 31L
                    } else {
                        i * 1000L + block
                    }
                },
                workUnits = 30,
            )
        }
        private var next = 0

        init {
            table.snapshot(set, targets, now)
            for (target in targets) table.reported(target.key, LoadReport(random.nextInt(16), 0, 16), now)
            repeat(1000) { choose(start = true) }
        }

        fun records(size: Int) = List(size) { i ->
            InstanceRecord(
                InstanceId("instance-$i"),
                Incarnation("incarnation-$i"),
                ZoneId("z${i % 12}"),
                InstanceRole.AGENT,
                "10.0.0.1",
                7000,
                kind = set.kind,
                serves = set.serves,
            )
        }

        fun choose(start: Boolean = false): Any {
            now += 100.microseconds
            val request = requests[next++ % requests.size]
            val decision = policy.choose(request, table.snapshot(set, view.candidates(set, now), now), random)
            if (start && decision is RoutingDecision.Chosen) {
                table.started(decision.target, request, now)
                if (next % 4 != 0) table.finished(decision.target.key, request, hadFirstToken = false, now)
            }
            return decision
        }

        fun event(createEvent: (TargetKey) -> MembershipEvent): MembershipView =
            view.update(createEvent(targets[random.nextInt(targets.size)].key), now)
    }

    override fun run(options: ExperimentOptions): Boolean {
        val sizes = listOf(12, 120, 690, 2_300, 6_900)
        val views = sizes.associateWith { TestView(it, options.seed) }
        val rounds = if (options.quick) 30 else 200
        fun costs(
            batch: Int,
            call: (TestView) -> Any?,
        ) = measure(views.mapValues { (_, one) -> { call(one) } }, rounds, batch)
        val rows = linkedMapOf(
            "decision" to costs(20_000) { it.choose() },
            "answer or report" to costs(20_000) { it.event(MembershipEvent::LoadReported) },
            "ejection" to costs(200) { one -> one.event { MembershipEvent.AttemptFailed(it, FailureKind.REFUSED) } },
            "probes due" to costs(200) { one -> one.view.probesDue(one.now) { false } },
            "list read" to costs(20) { it.view.update(MembershipEvent.ListRead(it.records, it.now), it.now) },
        )
        val lines = JsonLines(name)
        println("processor time in us and allocated bytes per call, by number of targets in one set")
        println("%-18s".format("call") + sizes.joinToString("") { "%18d".format(it) } + "   per target (fit)")
        val fits = rows.mapValues { (call, costsBySize) -> report(call, costsBySize, lines) }
        lines.write()
        writePlot(
            "membership.svg",
            "Processor time per call relative to its largest",
            "targets",
            "part",
            rows.map { (call, costsBySize) ->
                val largest = costsBySize.values.maxOf { it.nanos }
                Series(call, costsBySize.map { (size, cost) -> size.toDouble() to cost.nanos / largest })
            },
        )
        return verdict(rows, fits)
    }

    private fun report(call: String, costs: Map<Int, Cost>, lines: JsonLines): LinearFit {
        val fit = LinearFit(costs.map { (size, cost) -> size.toDouble() to cost.nanos })
        println(
            "%-18s".format(call) + costs.values.joinToString("") { "%9.3f %8.0f".format(it.nanos / 1000, it.bytes) } +
                "   %.4f ns, residual %.1f %%".format(fit.slope, fit.residual * 100),
        )
        for ((size, cost) in costs) {
            lines.add(
                "call" to call,
                "targets" to size,
                "nanos" to cost.nanos,
                "bytes" to cost.bytes,
            )
        }
        return fit
    }

    private fun verdict(rows: Map<String, Map<Int, Cost>>, fits: Map<String, LinearFit>): Boolean {
        val decisions = rows.getValue("decision")
        val ratio = decisions.getValue(6_900).nanos / decisions.getValue(12).nanos
        println("a decision at 6,900 targets costs %.2f times that at 12 (aim 1.5)".format(ratio))
        val info = LoadInformation()
        println(
            "per entry of 1,400: loads on answers %.0f B/s, probes %.0f B/s, together %.0f B/s (budget 6,000)"
                .format(info.answerBytesPerSecond, info.probeBytesPerSecond, info.totalBytesPerSecond),
        )
        println("with a load on every token: %.0f B/s".format(info.tokenBytesPerSecond))
        val nanos = info.decisionsPerSecond * fits.getValue("decision").at(TARGETS_PER_MODEL) +
            info.reportsPerSecond * fits.getValue("answer or report").at(TARGETS_PER_MODEL) +
            PROBE_CHECKS_PER_SECOND * fits.getValue("probes due").at(TARGETS) + fits.getValue("list read").at(TARGETS)
        println("processor time per second at 1,400 entries: %.4f %% of a core (budget 2 %%)".format(nanos / 1e7))
        return ratio <= 1.5 && info.totalBytesPerSecond <= 6_000 && nanos / 1e7 <= 2
    }

    private companion object {
        /** Number of targets of one model in all zones at the design size. */
        const val TARGETS_PER_MODEL = 690.0
        const val TARGETS = 6_900.0

        /** How often per second an instance checks for probes that are due. */
        const val PROBE_CHECKS_PER_SECOND = 10
    }
}
