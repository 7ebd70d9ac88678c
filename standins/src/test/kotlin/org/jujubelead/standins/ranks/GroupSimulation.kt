/** Seeded simulation of a group: ranks, agents, three coordinator hosts, the key-value service and injected faults. */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.CoordinatorEffect
import org.jujubelead.core.group.CoordinatorEvent
import org.jujubelead.core.group.EngineCallEffect
import org.jujubelead.core.group.EngineOrder
import org.jujubelead.core.group.ExpertMap
import org.jujubelead.core.group.GroupGeneration
import org.jujubelead.core.group.GroupRecord
import org.jujubelead.core.group.MapEpoch
import org.jujubelead.core.group.MapPhase
import org.jujubelead.core.group.RankEvent
import org.jujubelead.core.group.RankId
import org.jujubelead.core.group.RankMapState
import org.jujubelead.core.group.RankOrder
import org.jujubelead.core.group.RankReport
import org.jujubelead.core.group.RankTransition
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.Version
import org.jujubelead.standins.KeyValueLimits
import org.jujubelead.standins.KeyValueService
import org.jujubelead.standins.WriteReply
import kotlin.random.Random

/** Mechanism of guarantee P1 that is disabled, to show that the checker detects the consequences. */
internal enum class DisabledMechanism { NOTHING, NO_STEP_LIMIT, NO_FENCE_CHECK, COMMIT_BEFORE_ALL_ARMED }

internal const val STEP_MICROS = 50 * MILLI
private const val RECORD_KEY = "groups/g"

internal class GroupSimulation(
    seed: Long,
    val size: Int,
    faults: Set<Fault>,
    val disabled: DisabledMechanism = DisabledMechanism.NOTHING,
) {
    private val faultWindow = 7 * SECOND..17 * SECOND
    val random = Random(seed)
    val time = VirtualTime()
    val net = FaultyNetwork(time = time, random = random, faults = faults, window = faultWindow)
    val service = KeyValueService(KeyValueLimits(writesPerSecond = 10_000, readsPerSecond = 10_000))
    var serviceUp = true
    private val weights = WeightStore(bytesPerSecond = 4e9)
    private val group = RankGroup(size = size, stepMicros = STEP_MICROS)
    val history = StepHistory()
    private val slots = Array(size) { Slot(it) }
    private val hosts = List(3) { CoordinatorHost(simulation = this, index = it) }
    private val records = ArrayList<GroupRecord>()
    var members: List<InstanceId> = slots.map { it.instance }
    var desired = shuffled()
    private var finalMapAt: Long? = null

    private fun shuffled() = ExpertPlacement(
        (0 until size).shuffled(random).map { (it until it + 2).map { e -> e % size }.sorted() },
    )

    init {
        val initial = GroupRecord(
            generation = GroupGeneration.NONE,
            members = emptyList(),
            committed = ExpertMap(epoch = MapEpoch(0), placement = ExpertPlacement.contiguous(size, size)),
        )
        saveRecord(initial, expected = null)
        hosts.forEach { it.start() }
        injectFaults()
        time.every(2 * SECOND, { time.now < faultWindow.last }) { desired = shuffled() }
    }

    /**
     * Runs the simulation. Returns true if a change proposed after the faults is completed and the group continues to
     * step.
     */
    fun run(limitMicros: Long): Boolean {
        time.runUntil(faultWindow.last) { history.violations.isNotEmpty() }
        stopFaults()
        desired = shuffled()
        history.resetStall(time.now)
        var completedAt = Long.MAX_VALUE
        time.every(STEP_MICROS) {
            if (finalMapAt == null && records.any { it.map(history.lastEpoch).isDesired() }) {
                finalMapAt = time.now
                completedAt = group.completedSteps
            }
        }
        val done = { finalMapAt != null && group.completedSteps > completedAt + 20 }
        time.runUntil(faultWindow.last + limitMicros) { history.violations.isNotEmpty() || done() }
        return done()
    }

    /** Messages and engine orders that are already in flight stay delayed. */
    private fun stopFaults() {
        serviceUp = true
        slots.forEach { it.isolated = false }
        hosts.forEach { it.stopFaults() }
    }

    /** Number of step times from the end of the faults to the first step with the map that was proposed then. */
    fun stepsToRecover(): Long? = finalMapAt?.let { (it - faultWindow.last) / STEP_MICROS }

    private fun ExpertMap?.isDesired() = this?.placement == desired

    fun now() = Timestamp(time.now)

    fun readRecord(): Pair<Version, GroupRecord>? =
        service.read(RECORD_KEY)?.let { it.version to records[String(it.bytes).toInt()] }

    fun saveRecord(record: GroupRecord, expected: Version?): WriteReply {
        records += record
        val bytes = (records.size - 1).toString().toByteArray()
        return service.write(RECORD_KEY, expected, bytes, OperationId("${records.size}"), time.now / MILLI)
    }

    /** Delivers an order to the current agent of the rank. */
    fun deliver(send: CoordinatorEffect.Send, reply: (RankReport) -> Unit) {
        val slot = slots[send.rank.value]
        net.send {
            if (!slot.isolated && slot.instance == send.member) slot.receive(send.order, reply)
        }
    }

    private fun advance() {
        group.advance(time.now, history::add)
        val next = group.nextMicros ?: return
        if (next > time.now) time.at(next) { if (group.nextMicros == next) advance() }
    }

    private fun injectFaults() = time.every(500 * MILLI, { time.now < faultWindow.last }) {
        val slot = slots.random(random)
        val host = hosts.random(random)
        if (net.injects(Fault.KILL_COORDINATOR, probability = 0.25)) host.killAfterSends = random.nextInt(size)
        if (net.injects(Fault.PAUSE_COORDINATOR, probability = 0.25)) host.pause(random.nextLong(SECOND, 12 * SECOND))
        if (net.injects(Fault.PAUSE_COORDINATOR, probability = 0.25)) {
            hosts.forEach { it.pauseBeforeCommit = random.nextLong(5 * SECOND, 12 * SECOND) }
        }
        if (net.injects(Fault.RESTART_AGENT, probability = 0.2)) slot.startAgent()
        if (net.injects(Fault.RESTART_ENGINE, probability = 0.08)) slot.startEngine()
        if (net.injects(Fault.REPLACE_RANK, probability = 0.08)) slot.replace()
        if (net.injects(Fault.ISOLATE_RANK, probability = 0.25)) {
            slot.isolated = true
            time.after(random.nextLong(200 * MILLI, 4 * SECOND)) { slot.isolated = false }
        }
        if (net.injects(Fault.STORE_OUTAGE, probability = 0.15)) {
            serviceUp = false
            time.after(random.nextLong(SECOND, 12 * SECOND)) { serviceUp = true }
        }
    }

    /** One rank: its engine and its agent. */
    private inner class Slot(val index: Int) {
        var instance = InstanceId("rank-$index")
        var isolated = false
        private var starts = 0
        private lateinit var engine: RankProcess
        private lateinit var agent: RankMapState
        private var agentIncarnation = Incarnation("")
        private val honoursFences = random.nextBoolean()
        private var lastReport: RankReport? = null

        init {
            startEngine()
            startAgent()
        }

        fun startEngine() {
            val unlimited = disabled == DisabledMechanism.NO_STEP_LIMIT
            engine = object : RankProcess(
                rank = RankId(index),
                incarnation = Incarnation("engine-${starts++}"),
                weights = weights,
                expertBytes = 5_000_000,
                honoursFences = honoursFences,
            ) {
                override fun mayStart(step: Long, limit: Long?) = unlimited || super.mayStart(step, limit)
            }
            group.place(engine)
        }

        fun startAgent() {
            val incarnation = Incarnation("agent-${starts++}")
            agentIncarnation = incarnation
            agent = RankMapState.start(rank = RankId(index), incarnation = incarnation, now = now())
            lastReport = null
            time.every(100 * MILLI, { agentIncarnation == incarnation }) { event(RankEvent.Tick) }
        }

        /** Replaces the instance. The platform's list shows the new one with a delay. */
        fun replace() {
            instance = InstanceId("rank-$index-${starts++}")
            startEngine()
            startAgent()
            time.after(random.nextLong(SECOND, 3 * SECOND)) { members = slots.map { it.instance } }
        }

        fun receive(order: RankOrder, reply: (RankReport) -> Unit) {
            val previous = lastReport
            val delivered = if (disabled == DisabledMechanism.NO_FENCE_CHECK && previous != null) {
                order.copy(
                    fence = maxOf(order.fence, previous.promised ?: order.fence),
                    incarnation = previous.incarnation,
                )
            } else {
                order
            }
            val report = event(RankEvent.Ordered(delivered)).report ?: return
            lastReport = report
            val sent = if (disabled == DisabledMechanism.NO_FENCE_CHECK) report.copy(promised = order.fence) else report
            net.send { if (!isolated) reply(sent) }
        }

        private fun event(event: RankEvent): RankTransition {
            val next = agent.on(event, now())
            agent = next.state
            next.call?.let { call(it) }
            return next
        }

        private fun call(call: EngineCallEffect) {
            val incarnation = agentIncarnation
            val calledInstance = instance
            val delayed = call.order != EngineOrder.Read && net.injects(Fault.DELAY_ENGINE_ORDERS, probability = 0.3)
            time.after(if (delayed) random.nextLong(10 * MILLI, 4_900 * MILLI) else random.nextLong(100, MILLI)) {
                if (instance != calledInstance) return@after
                val state = engine.order(call.order, call.fence, time.now)
                if (call.order != EngineOrder.Read) advance()
                if (net.injects(Fault.DELAY_ENGINE_ORDERS, probability = 0.2)) return@after
                time.after(random.nextLong(100, MILLI)) {
                    if (agentIncarnation == incarnation) event(RankEvent.Answered(id = call.id, state = state))
                }
            }
        }
    }

    /** Events for a report. With [DisabledMechanism.COMMIT_BEFORE_ALL_ARMED], one armed rank stands for all ranks. */
    fun reportEvents(report: RankReport, reports: Map<RankId, RankReport>): List<CoordinatorEvent> {
        val armed = report.phase as? MapPhase.Armed
        val forged = if (disabled == DisabledMechanism.COMMIT_BEFORE_ALL_ARMED && armed != null) {
            reports.values.map { it.copy(phase = armed, pendingEpoch = armed.epoch, refusal = null) }
        } else {
            emptyList()
        }
        return (listOf(report) + forged).map { CoordinatorEvent.Reported(it) }
    }
}
