/** Messages and bytes between a coordinator and the agents of one group, for one undisturbed map change and at rest. */
package org.jujubelead.bench.placement

import org.jujubelead.bench.Experiment
import org.jujubelead.bench.ExperimentOptions
import org.jujubelead.core.group.CoordinatorEffect
import org.jujubelead.core.group.CoordinatorEvent
import org.jujubelead.core.group.CoordinatorPhase
import org.jujubelead.core.group.ExpertMap
import org.jujubelead.core.group.GroupGeneration
import org.jujubelead.core.group.GroupRecord
import org.jujubelead.core.group.MapCoordinator
import org.jujubelead.core.group.MapEpoch
import org.jujubelead.core.group.RankEvent
import org.jujubelead.core.group.RankId
import org.jujubelead.core.group.RankMapState
import org.jujubelead.core.group.RankOrder
import org.jujubelead.core.group.RankReport
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.placement.greedyPlacement
import org.jujubelead.core.time.Timestamp
import org.jujubelead.standins.ranks.RankGroup
import org.jujubelead.standins.ranks.RankProcess
import org.jujubelead.standins.ranks.WeightStore
import kotlin.time.Duration.Companion.hours

private const val GROUP_RANKS = 128
private const val ROUND_MICROS = 10_000L
private const val STEP_MICROS = 47_000L
private const val EXPERT_BYTES = 50_000_000L
private const val STORE_BYTES_PER_SECOND = 4e9
private const val MICROS_PER_SECOND = 1_000_000L
private const val REST_SECONDS = 60L

/** The experiment `map-cost`. It has no aims and always succeeds. */
public class MapCostExperiment : Experiment {
    override val name: String = "map-cost"

    override fun run(options: ExperimentOptions): Boolean {
        val group = CountedGroup()
        group.runUntilSteady()
        val forming = group.reset(label = "forming the group")
        group.runFor(REST_SECONDS * MICROS_PER_SECOND)
        val rest = group.reset(label = "at rest, per minute")
        val loads = List(GROUP_RANKS) { 1.0 / (it + 1) }
        group.propose(greedyPlacement(loads, capacities = List(GROUP_RANKS) { 1.0 }, slotsPerRank = 2))
        group.runUntilSteady()
        val change = group.reset(label = "one map change")
        listOf(forming, rest, change).forEach { println(it) }
        return true
    }
}

/** A group without faults, whose messages are counted by the size of their protobuf form. */
private class CountedGroup {
    private val weights = WeightStore(STORE_BYTES_PER_SECOND)
    private val ranks = List(GROUP_RANKS) {
        RankProcess(RankId(it), Incarnation("engine-$it"), weights, EXPERT_BYTES, honoursFences = true)
    }
    private val group = RankGroup(size = GROUP_RANKS, stepMicros = STEP_MICROS)
    private val agents = Array(GROUP_RANKS) {
        RankMapState.start(rank = RankId(it), incarnation = Incarnation("agent-$it"), now = Timestamp.ZERO)
    }
    private val members = List(GROUP_RANKS) { InstanceId("instance-$it") }
    private var coordinator = MapCoordinator.takeOver(
        group = GroupId("large-0"),
        fence = Fence(1),
        leaseUntil = Timestamp.ZERO + 1.hours,
        record = GroupRecord(
            generation = GroupGeneration.NONE,
            members = emptyList(),
            committed = ExpertMap(MapEpoch(0), ExpertPlacement.contiguous(GROUP_RANKS, GROUP_RANKS)),
        ),
        members = members,
    )
    private var nowMicros = 0L
    private var orders = 0
    private var orderBytes = 0L
    private var reports = 0
    private var reportBytes = 0L

    init {
        ranks.forEach { group.place(it) }
    }

    fun propose(placement: ExpertPlacement) = handle(CoordinatorEvent.Proposed(placement))

    fun runUntilSteady() {
        do round() while (coordinator.phase != CoordinatorPhase.Steady)
    }

    fun runFor(micros: Long) {
        val end = nowMicros + micros
        while (nowMicros < end) round()
    }

    fun reset(label: String): String {
        val text = "$label: $orders orders, $orderBytes bytes; $reports reports, $reportBytes bytes"
        orders = 0
        orderBytes = 0
        reports = 0
        reportBytes = 0
        return text
    }

    private fun round() {
        nowMicros += ROUND_MICROS
        agents.indices.forEach { agent(it, RankEvent.Tick) }
        handle(CoordinatorEvent.Tick)
        group.advance(nowMicros) { }
    }

    /** Gives the agent an event and answers its calls to the rank at once. */
    private fun agent(index: Int, event: RankEvent): RankReport? {
        val now = Timestamp(nowMicros)
        val first = agents[index].on(event, now)
        var next = first
        while (true) {
            agents[index] = next.state
            val call = next.call ?: return first.report
            val state = ranks[index].order(call.order, call.fence, nowMicros)
            next = agents[index].on(RankEvent.Answered(id = call.id, state = state), now)
        }
    }

    private fun handle(event: CoordinatorEvent) {
        val events = ArrayDeque(listOf(event))
        while (events.isNotEmpty()) {
            val next = coordinator.on(events.removeFirst(), Timestamp(nowMicros))
            coordinator = next.state
            events += next.effects.mapNotNull { carryOut(it) }
        }
    }

    private fun carryOut(effect: CoordinatorEffect): CoordinatorEvent? = when (effect) {
        is CoordinatorEffect.Save -> CoordinatorEvent.Saved(effect.record)

        is CoordinatorEffect.Send -> agent(effect.rank.value, RankEvent.Ordered(count(effect.order)))
            ?.let { CoordinatorEvent.Reported(count(it)) }
    }

    private fun count(order: RankOrder): RankOrder = order.also {
        orders += 1
        orderBytes += it.encodedSize()
    }

    private fun count(report: RankReport): RankReport = report.also {
        reports += 1
        reportBytes += it.encodedSize()
    }
}
