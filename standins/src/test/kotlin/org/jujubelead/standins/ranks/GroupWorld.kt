/** One seeded history of a group: ranks, agents, three coordinator hosts, the key-value service and injected faults. */
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

/** A mechanism of P1 that a history leaves out, to see that the checker notices. */
internal enum class Broken { NOTHING, NO_STEP_LIMIT, NO_FENCE_CHECK, COMMIT_BEFORE_ALL_ARMED }

internal const val STEP_MICROS = 50 * MILLI
private const val RECORD_KEY = "groups/g"

internal class GroupWorld(seed: Long, val size: Int, faults: Set<Fault>, val broken: Broken = Broken.NOTHING) {
    private val faultsOn = 7 * SECOND..17 * SECOND
    val random = Random(seed)
    val time = VirtualTime()
    val net = FaultyNetwork(time = time, random = random, faults = faults, window = faultsOn)
    val service = KeyValueService(KeyValueLimits(writesPerSecond = 10_000, readsPerSecond = 10_000))
    var serviceUp = true
    private val weights = WeightStore(bytesPerSecond = 4e9)
    private val group = RankGroup(size = size, stepMicros = STEP_MICROS)
    val history = StepHistory()
    private val slots = Array(size) { Slot(it) }
    private val hosts = List(3) { CoordinatorHost(world = this, index = it) }
    private val records = ArrayList<GroupRecord>()
    var members: List<InstanceId> = slots.map { it.instance }
    var wanted = shuffled()
    private var finalSeenAt: Long? = null

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
        time.every(2 * SECOND, { time.now < faultsOn.last }) { wanted = shuffled() }
    }

    /** Runs to the end; true when a change wanted after the faults was completed and the group steps on. */
    fun run(limitMicros: Long): Boolean {
        time.runUntil(faultsOn.last) { history.violations.isNotEmpty() }
        stopFaults()
        wanted = shuffled()
        history.resetStall(time.now)
        var completedAt = Long.MAX_VALUE
        time.every(STEP_MICROS) {
            if (finalSeenAt == null && records.any { it.map(history.lastEpoch).isWanted() }) {
                finalSeenAt = time.now
                completedAt = group.completedSteps
            }
        }
        val done = { finalSeenAt != null && group.completedSteps > completedAt + 20 }
        time.runUntil(faultsOn.last + limitMicros) { history.violations.isNotEmpty() || done() }
        return done()
    }

    /** Messages and engine orders that are already on the way stay late. */
    private fun stopFaults() {
        serviceUp = true
        slots.forEach { it.cutOff = false }
        hosts.forEach { it.stopFaults() }
    }

    /** Step times from the end of the faults to the first step with the map wanted then. */
    fun stepsToRecover(): Long? = finalSeenAt?.let { (it - faultsOn.last) / STEP_MICROS }

    private fun ExpertMap?.isWanted() = this?.placement == wanted

    fun now() = Timestamp(time.now)

    fun readRecord(): Pair<Version, GroupRecord>? =
        service.read(RECORD_KEY)?.let { it.version to records[String(it.bytes).toInt()] }

    fun saveRecord(record: GroupRecord, expected: Version?): WriteReply {
        records += record
        val bytes = (records.size - 1).toString().toByteArray()
        return service.write(RECORD_KEY, expected, bytes, OperationId("${records.size}"), time.now / MILLI)
    }

    /** Carries an order to the agent that is in the rank's place now. */
    fun deliver(send: CoordinatorEffect.Send, reply: (RankReport) -> Unit) {
        val slot = slots[send.rank.value]
        net.send {
            if (!slot.cutOff && slot.instance == send.member) slot.ordered(send.order, reply)
        }
    }

    private fun advance() {
        group.advance(time.now, history::add)
        val next = group.nextMicros ?: return
        if (next > time.now) time.at(next) { if (group.nextMicros == next) advance() }
    }

    private fun injectFaults() = time.every(500 * MILLI, { time.now < faultsOn.last }) {
        val slot = slots.random(random)
        val host = hosts.random(random)
        if (net.on(Fault.KILL_COORDINATOR, probability = 0.25)) host.killAfterSends = random.nextInt(size)
        if (net.on(Fault.PAUSE_COORDINATOR, probability = 0.25)) host.pause(random.nextLong(SECOND, 12 * SECOND))
        if (net.on(Fault.PAUSE_COORDINATOR, probability = 0.25)) {
            hosts.forEach { it.pauseBeforeCommit = random.nextLong(5 * SECOND, 12 * SECOND) }
        }
        if (net.on(Fault.RESTART_AGENT, probability = 0.2)) slot.startAgent()
        if (net.on(Fault.RESTART_ENGINE, probability = 0.08)) slot.startEngine()
        if (net.on(Fault.REPLACE_RANK, probability = 0.08)) slot.replace()
        if (net.on(Fault.CUT_OFF_RANK, probability = 0.25)) {
            slot.cutOff = true
            time.after(random.nextLong(200 * MILLI, 4 * SECOND)) { slot.cutOff = false }
        }
        if (net.on(Fault.STORE_OUTAGE, probability = 0.15)) {
            serviceUp = false
            time.after(random.nextLong(SECOND, 12 * SECOND)) { serviceUp = true }
        }
    }

    /** The place of one rank: its engine and the agent beside it. */
    private inner class Slot(val index: Int) {
        var instance = InstanceId("rank-$index")
        var cutOff = false
        private var lives = 0
        private lateinit var engine: RankProcess
        private lateinit var agent: RankMapState
        private var agentLife = Incarnation("")
        private val honoursFences = random.nextBoolean()
        private var lastReport: RankReport? = null

        init {
            startEngine()
            startAgent()
        }

        fun startEngine() {
            val unlimited = broken == Broken.NO_STEP_LIMIT
            engine = object : RankProcess(
                rank = RankId(index),
                incarnation = Incarnation("engine-${lives++}"),
                weights = weights,
                expertBytes = 5_000_000,
                honoursFences = honoursFences,
            ) {
                override fun mayStart(step: Long, limit: Long?) = unlimited || super.mayStart(step, limit)
            }
            group.place(engine)
        }

        fun startAgent() {
            val life = Incarnation("agent-${lives++}")
            agentLife = life
            agent = RankMapState.start(rank = RankId(index), incarnation = life, now = now())
            lastReport = null
            time.every(100 * MILLI, { agentLife == life }) { event(RankEvent.Tick) }
        }

        /** A new instance takes the place; the platform's list shows it with a delay. */
        fun replace() {
            instance = InstanceId("rank-$index-${lives++}")
            startEngine()
            startAgent()
            time.after(random.nextLong(SECOND, 3 * SECOND)) { members = slots.map { it.instance } }
        }

        fun ordered(order: RankOrder, reply: (RankReport) -> Unit) {
            val seen = lastReport
            val forced = if (broken == Broken.NO_FENCE_CHECK && seen != null) {
                order.copy(fence = maxOf(order.fence, seen.promised ?: order.fence), incarnation = seen.incarnation)
            } else {
                order
            }
            val report = event(RankEvent.Ordered(forced)).report ?: return
            lastReport = report
            val told = if (broken == Broken.NO_FENCE_CHECK) report.copy(promised = order.fence) else report
            net.send { if (!cutOff) reply(told) }
        }

        private fun event(event: RankEvent): RankTransition {
            val next = agent.on(event, now())
            agent = next.state
            next.call?.let { call(it) }
            return next
        }

        private fun call(call: EngineCallEffect) {
            val life = agentLife
            val place = instance
            val slow = call.order != EngineOrder.Read && net.on(Fault.DELAY_ENGINE_ORDERS, probability = 0.3)
            time.after(if (slow) random.nextLong(10 * MILLI, 4_900 * MILLI) else random.nextLong(100, MILLI)) {
                if (instance != place) return@after
                val state = engine.order(call.order, call.fence, time.now)
                if (call.order != EngineOrder.Read) advance()
                if (net.on(Fault.DELAY_ENGINE_ORDERS, probability = 0.2)) return@after
                time.after(random.nextLong(100, MILLI)) {
                    if (agentLife == life) event(RankEvent.Answered(id = call.id, state = state))
                }
            }
        }
    }

    /** With [Broken.COMMIT_BEFORE_ALL_ARMED], one armed rank makes all appear armed. */
    fun told(report: RankReport, known: Map<RankId, RankReport>): List<CoordinatorEvent> {
        val armed = report.phase as? MapPhase.Armed
        val forged = if (broken == Broken.COMMIT_BEFORE_ALL_ARMED && armed != null) {
            known.values.map { it.copy(phase = armed, pendingEpoch = armed.epoch, refusal = null) }
        } else {
            emptyList()
        }
        return (listOf(report) + forged).map { CoordinatorEvent.Reported(it) }
    }
}
