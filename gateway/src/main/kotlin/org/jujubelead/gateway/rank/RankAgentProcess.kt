/**
 * Process of a rank agent, which runs on the instance of each model replica.
 *
 * The agent reads reports and counts from the local replica, which is cheap and gives fresh values, sends them to the
 * coordinator of its group, and forwards the coordinator's orders to the replica. Any agent can be elected coordinator;
 * a coordinator has no state that its successor needs. Runs on one event loop.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.store.Term
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.store.LeaderElection
import org.jujubelead.gateway.store.Leadership
import org.jujubelead.gateway.store.StoreAnswer
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.store.readRange
import org.jujubelead.gateway.store.success
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.gateway.telemetry.LoopDelayMonitor
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeConfiguration
import org.jujubelead.platform.wire.decodeReplicaPage
import org.jujubelead.platform.wire.decodeStoredValue
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class RankAgentProcess(private val description: ProcessDescription, private val log: EventLog) {
    private val network = NioEventLoopGroup(1)
    private val loop = network.next()
    private val own = Endpoint(description.machine, description.internalPorts.first)
    private val replicaAddress = requireNotNull(description.replica) { "field replica is required for a rank agent" }
    private val service = requireNotNull(description.service) { "field service is required for a rank agent" }
    private val replica = HttpClient(replicaAddress, loop, REPLICA_TIMEOUT)
    private val store = StoreClient(HttpClient(description.store, loop, STORE_TIMEOUT), log)
    private val runtime = AgentRuntime(loop, log)
    private val agent = RankAgent(own, replica, runtime)
    private val election = LeaderElection(
        store = store,
        loop = loop,
        log = log,
        key = "rank-groups/${service.value}",
        self = own,
        candidateIndex = { agent.rank ?: own.hashCode().mod(CANDIDATE_INDEXES_WITHOUT_RANK) },
        leaderAnswers = { ProcessClock.now() < agent.coordinatorAliveUntil },
        onChange = ::leadershipChanged,
    )

    private var coordinator: GroupCoordinator? = null
    private val coordinatorStart =
        RepeatingTask(loop, "coordinator start", waitTime = { COORDINATOR_RETRY_INTERVAL }, work = ::startCoordinator)
    private val announcement =
        RepeatingTask(loop, "announcement", waitTime = { COORDINATOR_RETRY_INTERVAL }, work = ::announceLeader)
    private val stopped = CountDownLatch(1)

    /** Runs the agent until [stop] is called. */
    fun run() {
        listen(own, network) {
            servicePipeline(
                mapOf(
                    RankPaths.ORDER to agent::handleOrder,
                    RankPaths.HELD_EXPERTS to { _, answer -> agent.handleHeldExperts(answer) },
                    RankPaths.STATUS to { body, answer -> handleStatus(body, answer) },
                    RankPaths.LEADER to { body, answer -> handleLeaderAnnouncement(body, answer) },
                ),
            )
        }
        // The rank determines the candidate index, so it is read first: otherwise all agents of a restarted deployment
        // would campaign at the same time.
        loop.execute {
            agent.readRank { election.start() }
            agent.start()
            LoopDelayMonitor(loop, log, "agent").start()
        }
        log.log(LogEvent.STARTED, "service" to service, "replica" to replicaAddress, "store" to description.store)
        stopped.await()
        log.log(LogEvent.STOPPED)
    }

    fun stop() {
        log.log(LogEvent.STOP_REQUESTED)
        stopped.countDown()
    }

    private fun handleStatus(body: String, answer: (TextResponse) -> Unit) {
        val to = coordinator ?: return answer(TextResponse(STATUS_UNAVAILABLE, "this agent is not the coordinator\n"))
        val status = runtime.decode(RankStatus.serializer(), body) ?: return answer(UNREADABLE)
        val reply = to.onStatus(status, bytes = body.length)
        answer(TextResponse(STATUS_OK, rankJson.encodeToString(StatusReply.serializer(), reply)))
    }

    private fun handleLeaderAnnouncement(body: String, answer: (TextResponse) -> Unit) {
        val announcement = runtime.decode(LeaderAnnouncement.serializer(), body) ?: return answer(UNREADABLE)
        Endpoint.parse(announcement.leader)?.let { election.onAnnouncement(it, Term(announcement.term)) }
        answer(TextResponse(STATUS_OK, ""))
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
                val layout = result.success()?.let { expertLayout(it, service) }
                if (layout == null || election.leadership != term) return@step turn.end()
                startCoordinator(term.since, layout)
                turn.endIdle()
            },
        )
    }

    private fun startCoordinator(since: Term, layout: ExpertLayout) {
        coordinator = GroupCoordinator(
            runtime = runtime,
            layout = layout,
            since = since,
            ownRank = { agent.rank ?: 0 },
            reportOwnRank = agent::report,
            confirmLeadership = election::confirmLeadership,
            reporter = SlowRankReporter(own.host, service, since.value, store, loop),
        )
        announcement.request()
        agent.report()
    }

    /**
     * Announces this agent, if it leads, to the agents of all ranks. Agents that miss the announcement read the leader
     * from the store.
     */
    private fun announceLeader(turn: RepeatingTask.Turn) {
        val term = election.leadership as? Leadership.Leader ?: return turn.endIdle()
        store.readRange(StoreRequests.REPLICAS, turn, ::decodeReplicaPage) { read ->
            read.failure?.let { log.log(LogEvent.RANK_UNREADABLE, "detail" to it) }
            val announcement = rankJson.encodeToString(
                LeaderAnnouncement.serializer(),
                LeaderAnnouncement(leader = own.toString(), term = term.since.value),
            )
            val peers = read.pages.flatMap { it.content.replicas }
                .filter { it.service == service }.map { Endpoint(it.endpoint.host, own.port) }
            peers.distinct().filter { it != own }.forEach { announceTo(it, announcement) }
            if (read.failure == null) turn.endIdle() else turn.end()
        }
    }

    private fun announceTo(peer: Endpoint, announcement: String) {
        val caller = HttpClient(peer, loop, REPLICA_TIMEOUT)
        caller.post(RankPaths.LEADER, announcement) { caller.close() }
    }

    private fun expertLayout(answer: StoreAnswer, of: ServiceId): ExpertLayout? {
        val configuration = decodeStoredValue(answer.body, answer.era).flatMap {
            decodeConfiguration(it.text)
        }.getOrElse {
            log.log(LogEvent.CONFIGURATION_UNREADABLE, "detail" to it.detail)
            return null
        }
        return configuration.services[of]?.engine?.experts
    }

    private companion object {
        /** Timeout of calls on the same instance and between agents of one region. */
        val REPLICA_TIMEOUT: Duration = 200.milliseconds
        val STORE_TIMEOUT: Duration = 1_000.milliseconds

        /** Number of candidate indexes, chosen by address, of agents that do not know their rank yet. */
        const val CANDIDATE_INDEXES_WITHOUT_RANK = 256

        val COORDINATOR_RETRY_INTERVAL: Duration = 500.milliseconds
        val UNREADABLE = TextResponse(400, "unreadable message\n")
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
