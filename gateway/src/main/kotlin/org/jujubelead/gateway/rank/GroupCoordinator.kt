/**
 * Coordinates the expert map of one group while this process is the leader.
 *
 * Collects the statuses of the agents, plans a new map when no change is in progress, and carries changes out. Runs on
 * the agent's event loop.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.ChangePhase
import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.expertmap.MapChange
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.MapPlanner
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.expertmap.OrderBatch
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.expertmap.batchesOf
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.store.Term
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.schedule.InProgress
import org.jujubelead.gateway.schedule.scheduleOnce
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.HeldExperts
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @param group the group; statuses of ranks of other groups are ignored.
 * @param since term of this process as the leader. The versions of its maps are above those of earlier leaders.
 * @param ownRank rank of the local replica.
 * @param reportOwnRank makes the local agent send a status. It tells the pass of the whole group without any use of the
 * link.
 * @param confirmLeadership checks in the store whether this process is still the leader.
 * @param reporter receives the slow ranks.
 */
internal class GroupCoordinator(
    private val runtime: AgentRuntime,
    private val group: GroupId,
    private val layout: ExpertLayout,
    private val since: Term,
    private val ownRank: () -> Int,
    private val reportOwnRank: () -> Unit,
    private val confirmLeadership: ((Boolean) -> Unit) -> Unit,
    private val reporter: SlowRankReports,
    private val planInterval: Duration = PLAN_INTERVAL,
    private val decoders: WireDecoders = WireDecoders,
) {
    private val clients = HashMap<Endpoint, RankClient>()
    private val change =
        MapChange(versionFloor = MapVersion(since.value * MAX_VERSIONS_PER_TERM), holder = ::holder)
    private val planner = MapPlanner(layout)
    private var plannedAt = Timestamp.ZERO
    private val confirmation = InProgress(MAX_CONFIRMATION_TIME)
    private val heldExperts = HeldExpertsReader(layout.sets, runtime.clock)
    private var stopped = false
    private var lastPhase: ChangePhase = ChangePhase.Idle
    private var wasComplete = false
    private var mapsInFlight = 0
    private var evaluationDue = false
    private val dispatch = OrderDispatch()
    private val traffic = dispatch.traffic
    private val switchDuration = dispatch.switchDuration
    private var ownRankReportedAt = Timestamp.ZERO
    private var tickedAt: Timestamp? = null
    private var phaseSince = runtime.clock.now()
    private var passTime = Duration.ZERO
    private var lastLoggedStep = 0L
    private var lastLoggedAt = Timestamp.ZERO

    /** Grows with the group, so that the statuses' fraction of the coordinator's bandwidth does not. */
    private val interval: Duration get() = maxOf(MIN_STATUS_INTERVAL, INTERVAL_PER_RANK * clients.size)
    private val changeInterval: Duration get() = maxOf(MIN_CHANGE_INTERVAL, CHANGE_INTERVAL_PER_RANK * clients.size)
    private var ended = false

    private val tasks = listOf(
        runtime.loop.scheduleRepeating(TICK_MILLIS, "map change", ::tick),
        runtime.loop.scheduleRepeating(LOAD_LOG_MILLIS, "group load", ::logLoad),
        runtime.loop.scheduleRepeating(REPORT_MILLIS, "group report", ::reportSlowRanks),
    )

    /**
     * Handles the status of an agent. Only statuses of this term count, since their agents refuse orders of earlier
     * terms.
     *
     * @param bytes size of the message.
     */
    fun onStatus(status: RankStatus, bytes: Int = 0): StatusReply {
        traffic.record(MessageKind.STATUS, bytes)
        if (status.term == since.value) applyStatus(status)
        return StatusReply(layout.sets, interval.inWholeMilliseconds, changeInterval.inWholeMilliseconds)
    }

    private fun applyStatus(status: RankStatus) {
        val now = runtime.clock.now()
        val replica = Endpoint.parse(status.replica) ?: return
        val agent = Endpoint.parse(status.agent) ?: return
        if (status.group != group) {
            clients.remove(replica)?.close()
            return
        }
        val client = clients[replica]?.takeIf { it.agent == agent }
            ?: RankClient(group, agent, replica, since.value, runtime, decoders, dispatch)
                .also { clients.put(replica, it)?.close() }
        client.onReading(status.observed)
        planner.recordChoices(status.firstSet, CompactCounts(status.choiceUnit, status.choices).counts(), now)
        evaluateSoon()
    }

    /** Evaluates once for several statuses: an evaluation goes through all ranks, and so does a round of statuses. */
    private fun evaluateSoon() {
        if (evaluationDue) return
        evaluationDue = true
        runtime.loop.scheduleOnce(EVALUATION_DELAY, "map change") {
            evaluationDue = false
            evaluate()
        }
    }

    /** Stops as soon as the group is not held any more. */
    fun stop() {
        stopped = true
        change.leadershipLost()
        if (change.idle) end()
    }

    private fun end() {
        ended = true
        tasks.forEach { it.cancel(false) }
        reporter.close()
        clients.values.forEach { it.close() }
        clients.clear()
    }

    /** Clients of the group's ranks with recent observations; a rank that has moved has the latest of its clients. */
    private fun members(now: Timestamp): Map<Int, RankClient> {
        val latest = HashMap<Int, RankObservation>()
        val members = LinkedHashMap<Int, RankClient>()
        for (client in clients.values) {
            val seen = client.observation?.takeIf { it.group == group && now - it.observedAt < maxAge } ?: continue
            val known = latest[seen.rank]
            if (known == null || known.observedAt < seen.observedAt) {
                latest[seen.rank] = seen
                members[seen.rank] = client
            }
        }
        return members
    }

    private fun view(now: Timestamp): Map<Int, RankObservation> =
        buildMap { for ((rank, client) in members(now)) client.observation?.let { put(rank, it) } }

    /**
     * Maximum age of the observations that are used. It is longer during a switch: arming and releasing are safe with
     * old observations, and the whole group waits for them.
     */
    private val maxAge: Duration
        get() = if (change.phase is ChangePhase.Switching) MAX_AGE_DURING_SWITCH else interval * MAX_AGE_INTERVALS

    /** Plans one step, and evaluates the change also when no status arrives. */
    private fun tick() {
        if (ended) return
        val now = runtime.clock.now()
        tickedAt?.let { traffic.recordLoopDelay(now - it - TICK_MILLIS.milliseconds) }
        tickedAt = now
        readSilentRanks()
        if (!change.idle && now - ownRankReportedAt >= OWN_RANK_INTERVAL) {
            ownRankReportedAt = now
            reportOwnRank()
        }
        evaluate()
        val current = change.current ?: return
        if (!change.idle || stopped || !wasComplete) return
        if (planner.idle && now - plannedAt >= planInterval) plan(current, view(now), now)
    }

    /**
     * Reads ranks with a silent agent at their replica, so that a suspended agent delays neither a change nor its
     * release.
     */
    private fun readSilentRanks() {
        val now = runtime.clock.now()
        for (client in clients.values) if (client.silent(now, silenceTimeout)) client.readDirectly(::evaluate)
    }

    /** Time without contact after which an agent counts as silent. */
    private val silenceTimeout: Duration get() = maxOf(MIN_SILENCE, interval * MAX_SILENT_INTERVALS)

    /** Selects the rank at which the group is held: the next one after the own rank whose agent is not silent. */
    private fun holder(size: Int): Int {
        val now = runtime.clock.now()
        val members = members(now)
        val ranks = (1 until size).map { (ownRank() + it) % size }
        return ranks.firstOrNull { r -> members[r]?.silent(now, silenceTimeout) == false } ?: ownRank()
    }

    private fun evaluate() {
        if (stopped && change.idle) return end()
        val now = runtime.clock.now()
        val view = view(now)
        val complete = change.complete(view)
        if (complete != wasComplete) {
            wasComplete = complete
            runtime.log.log(LogEvent.RANKS_CHANGED, "ranks" to view.size, "complete" to complete)
        }
        if (!complete) return
        val orders = change.nextOrders(view, now)
        orders.values.firstNotNullOfOrNull { it as? MapOrder.Release }?.let { allArmed(it, view, now) }
        sendAll(orders, now)
        logPhase()
        when {
            change.phase is ChangePhase.Proving -> confirmStillLeader()

            !change.idle || stopped -> Unit

            change.current == null -> heldExperts.read(view, members(now)::get, { view(runtime.clock.now()) }) { map ->
                map?.let(change::updateCurrent)
            }
        }
    }

    /**
     * Sends [orders], in large groups through relays. Agents that are silent get theirs one by one: an order that ends
     * a hold bypasses them.
     */
    private fun sendAll(orders: Map<Int, MapOrder>, now: Timestamp) {
        val order = orders.values.firstOrNull() ?: return
        val members = members(now)
        val due = orders.keys.mapNotNull { members[it] }.filter { it.isDue(order, now) }
        val (silent, reachable) = due.partition { it.silent(now, silenceTimeout) }
        val batches = batchesOf(reachable) + silent.map { OrderBatch(it, relayedTo = emptyList()) }
        for (batch in batches) {
            if (order is MapOrder.Prepare && mapsInFlight >= MAX_MAPS_IN_FLIGHT) return
            val sent = batch.first.send(order, silenceTimeout, batch.relayedTo) {
                if (order is MapOrder.Prepare) mapsInFlight--
                evaluate()
            }
            if (sent && order is MapOrder.Prepare) mapsInFlight++
        }
    }

    private fun allArmed(release: MapOrder.Release, view: Map<Int, RankObservation>, now: Timestamp) {
        val took = switchDuration.allArmed(now) ?: return
        runtime.log.log(
            LogEvent.MAP_CHANGE_STEP,
            "step" to "armed",
            "millis" to took.inWholeMilliseconds,
            // Without a pass left, the group stands still.
            "passesLeft" to release.step - 1 - view.values.maxOf { it.step },
            "marginSteps" to change.marginSteps,
        )
    }

    private fun confirmStillLeader() {
        if (confirmation.at(runtime.clock.now())) return
        confirmation.begin(runtime.clock.now())
        confirmLeadership { leads ->
            confirmation.end()
            val now = runtime.clock.now()
            val view = view(now)
            change.marginSteps = switchDuration.marginSteps(passTime)
            if (leads && change.complete(view)) change.leadershipConfirmed(view) else change.leadershipLost()
            evaluate()
        }
    }

    /** Plans one set. The next set is planned after the event loop has handled the events that arrived meanwhile. */
    private fun plan(current: GroupMap, view: Map<Int, RankObservation>, now: Timestamp) {
        if (planner.idle) plannedAt = now
        val proposal = planner.planNextSet(current, slowdowns = view.toSortedMap().values.map { it.slowdown })
        if (proposal == null) {
            if (!planner.idle) runtime.loop.execute { continuePlanning(current) }
            return
        }
        runtime.log.log(
            LogEvent.MAP_CHANGE_STEP,
            "step" to "proposed",
            "gainPercent" to (proposal.gain * PERCENT).toInt(),
            "planMillis" to (now - plannedAt).inWholeMilliseconds,
        )
        change.propose(proposal.map, now)
        evaluate()
    }

    private fun reportSlowRanks() {
        if (ended || stopped) return
        val slow = HashMap<Endpoint, Double>()
        for ((replica, client) in clients) {
            val seen = client.observation?.takeIf { it.group == group } ?: continue
            if (seen.slowdown > 1) slow[replica] = seen.slowdown
        }
        reporter.report(slow)
    }

    private fun continuePlanning(current: GroupMap) {
        val now = runtime.clock.now()
        val same = change.current === current && change.idle && !stopped && wasComplete
        if (same) plan(current, view(now), now) else planner.discardPlan()
    }

    private fun logLoad() {
        if (ended) return
        runtime.log.log(LogEvent.COORDINATOR_TRAFFIC, *traffic.drain().toTypedArray())
        val now = runtime.clock.now()
        if (change.idle) closeUnused(now)
        val view = view(now)
        if (!change.complete(view)) return
        val step = view.values.maxOf { it.step }
        val passes = step - lastLoggedStep
        if (passes > 0 && lastLoggedStep > 0) {
            passTime = (now - lastLoggedAt) / passes.toDouble()
            val ranks = view.toSortedMap()
            runtime.log.log(
                LogEvent.GROUP_LOAD,
                "passMillis" to (now - lastLoggedAt).inWholeMilliseconds / passes,
                "paces" to ranks.filterValues {
                    it.slowdown > 1
                }.entries.joinToString(" ") { "${it.key}:${it.value.slowdown}" },
                "running" to ranks.values.joinToString(" ") { it.running.toString() },
                "imbalance" to change.current?.let(planner::imbalance)?.let { "%.2f".format(it) },
                "drift" to "%.2f".format(planner.drift),
            )
        }
        lastLoggedStep = step
        lastLoggedAt = now
    }

    /** Closes the clients of replicas that have left the group: they would be read in vain. */
    private fun closeUnused(now: Timestamp) {
        clients.values.removeIf { client ->
            val unused = client.observation?.let { it.group != group || now - it.observedAt > MAX_UNUSED_TIME } ?: false
            if (unused) client.close()
            unused
        }
    }

    private fun logPhase() {
        val phase = change.phase
        if (phase::class == lastPhase::class) return
        lastPhase = phase
        switchDuration.phaseChanged(phase, runtime.clock.now())
        val details = when (phase) {
            is ChangePhase.Preparing -> "version ${phase.version}"
            is ChangePhase.Holding -> "version ${phase.version} pass ${phase.step}"
            is ChangePhase.Switching -> "version ${phase.version} pass ${phase.step}"
            is ChangePhase.Idle, is ChangePhase.Proving -> null
        }
        val now = runtime.clock.now()
        runtime.log.log(
            LogEvent.MAP_CHANGE_STEP,
            "step" to phase::class.simpleName,
            "details" to details,
            "previousMillis" to (now - phaseSince).inWholeMilliseconds,
        )
        phaseSince = now
    }

    private companion object {
        /** Longer than a restart of a replica and its instance. */
        val MAX_UNUSED_TIME: Duration = 30.seconds

        /** Longer than the timeout of the call to the store. */
        val MAX_CONFIRMATION_TIME: Duration = 3.seconds

        /** Observations are not used after this number of status intervals. */
        const val MAX_AGE_INTERVALS = 4

        /** Agents are bypassed after this number of status intervals without contact. */
        const val MAX_SILENT_INTERVALS = 2

        /** A status takes two calls to the replica, which can be slow on a busy small instance. */
        val MIN_SILENCE: Duration = 600.milliseconds

        /**
         * Longer than the suspension or restart of an agent's instance. Old observations do no harm: a group that
         * breaks gets a new epoch.
         */
        val MAX_AGE_DURING_SWITCH: Duration = 8.seconds

        /** About four statuses a second, since demand shifts every few seconds. */
        val MIN_STATUS_INTERVAL: Duration = 240.milliseconds

        /** Allows 125 statuses of two kilobytes a second, a third of the smallest link among the users' deployments. */
        val INTERVAL_PER_RANK: Duration = 8.milliseconds

        /** About the duration of a short pass. */
        val OWN_RANK_INTERVAL: Duration = 60.milliseconds

        /** Interval of the statuses of agents whose last order has had no effect yet. */
        val MIN_CHANGE_INTERVAL: Duration = 60.milliseconds
        val CHANGE_INTERVAL_PER_RANK: Duration = 2.milliseconds

        /** The changes of the largest group's map for 16 ranks are queued for 40 ms on the smallest link. */
        const val MAX_MAPS_IN_FLIGHT = 16

        /** Plans twice a second, which handles a shift of demand within a second or two. */
        val PLAN_INTERVAL: Duration = 500.milliseconds
        const val TICK_MILLIS = 30L
        val EVALUATION_DELAY: Duration = 5.milliseconds
        const val LOAD_LOG_MILLIS = 1_000L

        /** Gateways learn about a slow rank within half a second. */
        const val REPORT_MILLIS = 250L

        /** Maximum number of map versions of one leader. */
        const val MAX_VERSIONS_PER_TERM = 10_000L
        const val PERCENT = 100
    }
}
