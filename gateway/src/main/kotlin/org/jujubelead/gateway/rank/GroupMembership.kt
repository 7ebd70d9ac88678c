/**
 * Part of an agent in one group of ranks: takes part in the election of the group's coordinator, and coordinates the
 * group while it leads.
 *
 * Each group of a service has an election, a coordinator and a map of its own. Runs on the agent's event loop.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.store.Term
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.store.LeaderElection
import org.jujubelead.gateway.store.Leadership
import org.jujubelead.gateway.store.StoreAnswer
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.store.readRange
import org.jujubelead.gateway.store.success
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeConfiguration
import org.jujubelead.platform.wire.decodeReplicaPage
import org.jujubelead.platform.wire.decodeStoredValue
import org.jujubelead.platform.wire.storeKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** @param own address of this agent. */
internal class GroupMembership(
    private val service: ServiceId,
    private val group: GroupId,
    private val own: Endpoint,
    private val agent: RankAgent,
    private val store: StoreClient,
    private val runtime: AgentRuntime,
) {
    private val election = LeaderElection(
        store = store,
        loop = runtime.loop,
        log = runtime.log,
        key = storeKey("rank-groups/", service.value, group.value),
        self = own,
        candidateIndex = { agent.rank ?: 0 },
        leaderAnswers = { runtime.clock.now() < agent.coordinatorAliveUntil },
        onChange = ::leadershipChanged,
    )
    private var coordinator: GroupCoordinator? = null
    private val coordinatorStart = RepeatingTask(
        runtime.loop,
        "coordinator start",
        waitTime = { RETRY_INTERVAL },
        work = ::startCoordinator,
    )
    private val announcement =
        RepeatingTask(runtime.loop, "announcement", waitTime = { RETRY_INTERVAL }, work = ::announceLeader)

    fun start(): Unit = election.start()

    /** Leaves the group. A change of the map that holds it is completed. */
    fun stop() {
        election.stop()
        coordinatorStart.stop()
        announcement.stop()
        coordinator?.stop()
        coordinator = null
    }

    /** Handles a status; null if this agent does not coordinate the group. */
    fun onStatus(status: RankStatus, bytes: Int): StatusReply? = coordinator?.onStatus(status, bytes)

    fun onAnnouncement(announced: LeaderAnnouncement) {
        if (announced.group != group) return
        Endpoint.parse(announced.leader)?.let { election.onAnnouncement(it, Term(announced.term)) }
    }

    private fun leadershipChanged(now: Leadership) {
        coordinator?.stop()
        coordinator = null
        val (address, since) = when (now) {
            is Leadership.Unknown -> null to null
            is Leadership.Follower -> now.leader to now.since
            is Leadership.Leader -> own to now.since
        }
        agent.follow(address, since)
        if (now is Leadership.Leader) coordinatorStart.request() else agent.report()
    }

    /** Reads the expert layout from the configuration and starts the coordinator, if this agent leads without one. */
    private fun startCoordinator(turn: RepeatingTask.Turn) {
        val term = election.leadership as? Leadership.Leader
        if (term == null || coordinator != null) return turn.endIdle()
        store.get(
            StoreRequests.CONFIGURATION_PATH,
            turn.step { result ->
                val layout = result.success()?.let(::expertLayout)
                if (layout == null || election.leadership != term) return@step turn.end()
                startCoordinator(term.since, layout)
                turn.endIdle()
            },
        )
    }

    private fun startCoordinator(since: Term, layout: ExpertLayout) {
        coordinator = GroupCoordinator(
            runtime = runtime,
            group = group,
            layout = layout,
            since = since,
            ownRank = { agent.rank ?: 0 },
            reportOwnRank = agent::report,
            confirmLeadership = election::confirmLeadership,
            reporter = SlowRankReporter(own.host, service, group, since.value, store, runtime.loop),
        )
        announcement.request()
        agent.report()
    }

    private fun expertLayout(answer: StoreAnswer): ExpertLayout? {
        val configuration = decodeStoredValue(answer.body, answer.era).flatMap {
            decodeConfiguration(it.text)
        }.getOrElse {
            runtime.log.log(LogEvent.CONFIGURATION_UNREADABLE, "detail" to it.detail)
            return null
        }
        return configuration.services[service]?.engine?.experts
    }

    /**
     * Announces this agent, if it leads, to the agents of all ranks of the service, which know their group. Agents that
     * miss the announcement read the leader from the store.
     */
    private fun announceLeader(turn: RepeatingTask.Turn) {
        val term = election.leadership as? Leadership.Leader ?: return turn.endIdle()
        store.readRange(StoreRequests.REPLICAS, turn, ::decodeReplicaPage) { read ->
            read.failure?.let { runtime.log.log(LogEvent.RANK_UNREADABLE, "detail" to it) }
            val message = rankJson.encodeToString(
                LeaderAnnouncement.serializer(),
                LeaderAnnouncement(group, leader = own.toString(), term = term.since.value),
            )
            val peers = read.pages.flatMap { it.content.replicas }
                .filter { it.service == service }.map { Endpoint(it.endpoint.host, own.port) }
            peers.distinct().filter { it != own }.forEach { announceTo(it, message) }
            if (read.failure == null) turn.endIdle() else turn.end()
        }
    }

    private fun announceTo(peer: Endpoint, message: String) {
        val caller = runtime.clients.connect(peer, ANNOUNCEMENT_TIMEOUT)
        caller.post(RankPaths.LEADER, message) { caller.close() }
    }

    private companion object {
        val RETRY_INTERVAL: Duration = 500.milliseconds

        /** Timeout of calls between agents of one region. */
        val ANNOUNCEMENT_TIMEOUT: Duration = 200.milliseconds
    }
}
