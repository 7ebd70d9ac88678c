/**
 * Process of a rank agent, which runs on the instance of each model replica.
 *
 * The agent reads reports and counts from the local replica, which is cheap and gives fresh values, sends them to the
 * coordinator of its group, and forwards the coordinator's orders to the replica. Any agent can be elected coordinator;
 * a coordinator has no state that its successor needs. Runs on one event loop.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.serialization.DeserializationStrategy
import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.store.LeaderElection
import org.jujubelead.gateway.store.Leadership
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeConfiguration
import org.jujubelead.platform.wire.decodeExpertCounts
import org.jujubelead.platform.wire.decodeJson
import org.jujubelead.platform.wire.decodeRankReport
import org.jujubelead.platform.wire.decodeReplicaPage
import org.jujubelead.platform.wire.decodeStoredValue
import org.jujubelead.platform.wire.encodeOrder
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
    private val store = HttpClient(description.store, loop, STORE_TIMEOUT)
    private val election = LeaderElection(
        store = store,
        loop = loop,
        log = log,
        key = "rank-groups/${service.value}",
        self = own,
        candidateIndex = { rank ?: own.hashCode().mod(CANDIDATE_INDEXES_WITHOUT_RANK) },
        leaderAnswers = { ProcessClock.now() < leaderAliveUntil },
        onChange = ::leadershipChanged,
    )

    /** Null until the replica belongs to a group. */
    private var rank: Int? = null

    /** Highest coordinator term that this agent has followed or accepted an order of. */
    private var term = 0L

    /**
     * False until the leader has been read from the store: an agent that has just started cannot recognize a deposed
     * coordinator.
     */
    private var termKnown = false
    private var ordersInFlight = 0
    private var reportedAt = Timestamp.ZERO
    private var choicesDueAt = Timestamp.ZERO
    private val mapCache = MapCache()
    private val localRank = LocalRank(replica, loop)
    private val relay = OrderRelay(loop, log)
    private var reply = StatusReply(sets = 0, interval = INITIAL_REPORT_MILLIS, changeInterval = INITIAL_REPORT_MILLIS)
    private var sampleRound = 0

    /** Until then a map change is likely in progress, and the coordinator waits for each status. */
    private var mapChangeUntil = Timestamp.ZERO
    private var lastCounts: List<Int> = emptyList()
    private var leader: HttpClient? = null
    private var leaderAliveUntil = Timestamp.ZERO
    private var coordinator: GroupCoordinator? = null
    private val coordinatorStart =
        RepeatingTask(loop, "coordinator start", waitTime = { COORDINATOR_RETRY_INTERVAL }, work = ::startCoordinator)
    private val stopped = CountDownLatch(1)

    /** Runs the agent until [stop] is called. */
    fun run() {
        listen(own, network) {
            servicePipeline(
                mapOf(
                    RankPaths.ORDER to { body, answer -> handleOrder(body, answer) },
                    RankPaths.HELD_EXPERTS to { _, answer -> handleHeldExperts(answer) },
                    RankPaths.STATUS to { body, answer -> handleStatus(body, answer) },
                    RankPaths.LEADER to { body, answer -> handleLeaderAnnouncement(body, answer) },
                ),
            )
        }
        // The rank determines the candidate index, so it is read first: otherwise all agents of a restarted deployment
        // would campaign at the same time.
        loop.execute {
            localRank.read { reading ->
                if (reading != null) updateOwnRank(reading)
                election.start()
            }
        }
        loop.scheduleRepeating(TICK_MILLIS, "rank status", ::tick)
        log.log(LogEvent.STARTED, "service" to service, "replica" to replicaAddress, "store" to description.store)
        stopped.await()
        log.log(LogEvent.STOPPED)
    }

    fun stop() {
        log.log(LogEvent.STOP_REQUESTED)
        stopped.countDown()
    }

    private fun tick() {
        val now = ProcessClock.now()
        val interval = if (now < mapChangeUntil) reply.changeInterval else reply.interval
        if (now - reportedAt < interval.milliseconds) return
        reportedAt = now
        report()
    }

    /** Sends a status of the rank to the coordinator. */
    private fun report() {
        val to = leader ?: return
        // A status of a new term guarantees that this agent has no order of an earlier term in flight.
        if (ordersInFlight > 0) return
        val following = term
        localRank.read { reading ->
            if (reading == null) return@read
            updateOwnRank(reading)
            val now = ProcessClock.now()
            // During a map change, statuses are frequent and leave out the counts.
            if (now < choicesDueAt) return@read sendStatus(to, following, reading, firstSet = 0, choices = emptyList())
            choicesDueAt = now + reply.interval.milliseconds * CHOICES_INTERVAL_FRACTION
            replica.get(RankEndpoints.EXPERT_COUNTS_PATH) { counted ->
                val counts = counted.successBody()?.let { decodeExpertCounts(it).get() }
                val (firstSet, choices) = sample(choicesSinceLastRead(counts.orEmpty()))
                sendStatus(to, following, reading, firstSet, choices)
            }
        }
    }

    private fun sendStatus(to: HttpClient, following: Long, reading: RankReading, firstSet: Int, choices: List<Int>) {
        val compact = CompactCounts.of(choices)
        val status = RankStatus(
            term = following,
            agent = own.toString(),
            replica = replicaAddress.toString(),
            observed = reading,
            firstSet = firstSet,
            choices = compact.text,
            choiceUnit = compact.unit,
        )
        to.post(RankPaths.STATUS, rankJson.encodeToString(RankStatus.serializer(), status)) { answered ->
            // A lost status is not resent; the next one replaces it.
            val body = answered.successBody() ?: return@post
            reply = decode(StatusReply.serializer(), body) ?: return@post
            leaderAliveUntil = ProcessClock.now() + reply.interval.milliseconds + LEADER_TIMEOUT
        }
    }

    private fun updateOwnRank(reading: RankReading) {
        decodeRankReport(reading.report, ProcessClock.now())
            .onSuccess { rank = it.observation.rank }
            .onFailure { log.log(LogEvent.RANK_UNREADABLE, "replica" to replicaAddress, "detail" to it.detail) }
    }

    /**
     * Returns the choices of as many complete sets as fit into a status. Ranks start with different sets and rotate, so
     * that all sets are sampled at any time.
     */
    private fun sample(choices: List<Int>): Pair<Int, List<Int>> {
        if (reply.sets == 0 || choices.isEmpty()) return 0 to emptyList()
        val perSet = choices.size / reply.sets
        val whole = (MAX_CHOICES / perSet).coerceIn(1, reply.sets)
        val firstSet = ((rank ?: 0) + sampleRound++) * whole % reply.sets
        val end = minOf(firstSet + whole, reply.sets)
        return firstSet to choices.subList(firstSet * perSet, end * perSet)
    }

    /** Returns the increase of each count since the last call. The counts of a restarted rank start at zero again. */
    private fun choicesSinceLastRead(counts: List<Int>): List<Int> {
        val before = lastCounts
        lastCounts = counts
        if (before.size != counts.size) return emptyList()
        val added = counts.indices.map { counts[it] - before[it] }
        return if (added.any { it < 0 }) emptyList() else added
    }

    private fun handleOrder(body: String, answer: (TextResponse) -> Unit) {
        val order = decode(RankOrder.serializer(), body) ?: return answer(UNREADABLE)
        if (order.term < term || !termKnown) {
            log.log(
                LogEvent.ORDER_REFUSED,
                "term" to order.term,
                "known" to term,
                "order" to (order.body ?: "prepare ${order.prepare?.version}"),
            )
            return answer(
                TextResponse(STATUS_REFUSED, "order of an earlier term, or the current term is not known yet\n"),
            )
        }
        val map = order.prepare?.let { mapCache.resolve(it) }
        val forReplica = order.body ?: map?.let { prepareBody(checkNotNull(order.prepare), it) }
            ?: return answer(TextResponse(STATUS_NOT_FOUND, "base of the map is not known\n"))
        term = order.term
        mapChangeUntil = ProcessClock.now() + MAP_CHANGE_TIME
        var own: OrderResult? = null
        var relayed: List<RelayedResult>? = null
        val answerWhenComplete = {
            val result = relayed?.let { own?.copy(relayed = it) }
            if (result != null) {
                answer(TextResponse(STATUS_OK, rankJson.encodeToString(OrderResult.serializer(), result)))
            }
        }
        relay.send(order, map) {
            relayed = it
            answerWhenComplete()
        }
        ordersInFlight++
        localRank.send(forReplica, prepares = order.prepare?.version, onAnswer = { ordersInFlight-- }) {
            own = it
            answerWhenComplete()
        }
    }

    private fun prepareBody(prepare: PrepareOrder, map: GroupMap): String =
        encodeOrder(MapOrder.Prepare(MapVersion(prepare.version), map), prepare.epoch)

    private fun handleHeldExperts(answer: (TextResponse) -> Unit) {
        replica.get(RankEndpoints.HELD_EXPERTS_PATH) { answer(it.get() ?: TextResponse(STATUS_UNAVAILABLE, "")) }
    }

    private fun handleStatus(body: String, answer: (TextResponse) -> Unit) {
        val to = coordinator ?: return answer(TextResponse(STATUS_UNAVAILABLE, "this agent is not the coordinator\n"))
        val reply = to.onStatus(decode(RankStatus.serializer(), body) ?: return answer(UNREADABLE))
        answer(TextResponse(STATUS_OK, rankJson.encodeToString(StatusReply.serializer(), reply)))
    }

    private fun handleLeaderAnnouncement(body: String, answer: (TextResponse) -> Unit) {
        val announcement = decode(LeaderAnnouncement.serializer(), body) ?: return answer(UNREADABLE)
        Endpoint.parse(announcement.leader)?.let { election.onAnnouncement(it, Revision(announcement.term)) }
        answer(TextResponse(STATUS_OK, ""))
    }

    /** Returns null if [body] is not such a message: the address may belong to another process by now. */
    private fun <T : Any> decode(deserializer: DeserializationStrategy<T>, body: String): T? =
        decodeJson(deserializer.descriptor.serialName, deserializer, body).getOrElse {
            log.log(LogEvent.RANK_UNREADABLE, "detail" to it.detail)
            null
        }

    private fun leadershipChanged(now: Leadership) {
        coordinator?.stop()
        coordinator = null
        val (address, since) = when (now) {
            is Leadership.Unknown -> null to null
            is Leadership.Follower -> now.leader to now.since
            is Leadership.Leader -> own to now.since
        }
        if (since != null) {
            term = maxOf(term, since.value)
            termKnown = true
        }
        if (leader?.endpoint != address) {
            leader?.close()
            leader = address?.let { HttpClient(it, loop, REPLICA_TIMEOUT) }
        }
        leaderAliveUntil = ProcessClock.now() + LEADER_TIMEOUT
        if (now is Leadership.Leader) coordinatorStart.request() else report()
    }

    /** Reads the expert layout from the configuration and starts the coordinator, if this agent leads without one. */
    private fun startCoordinator(turn: RepeatingTask.Turn) {
        val term = election.leadership as? Leadership.Leader
        if (term == null || coordinator != null) return turn.endIdle()
        store.get(
            StoreRequests.CONFIGURATION_PATH,
            turn.step { result ->
                val layout = result.successBody()?.let { expertLayout(it, service) }
                if (layout == null || election.leadership != term) return@step turn.end()
                startCoordinator(term.since, layout)
                turn.endIdle()
            },
        )
    }

    private fun startCoordinator(since: Revision, layout: ExpertLayout) {
        coordinator = GroupCoordinator(
            loop = loop,
            log = log,
            layout = layout,
            since = since,
            ownRank = { rank ?: 0 },
            confirmLeadership = election::confirmLeadership,
            reporter = SlowRankReporter(own.host, service, since.value, store, loop),
        )
        announceLeader(since)
        report()
    }

    /**
     * Announces the new leader to the agents of all ranks. Agents that miss the announcement read the leader from the
     * store.
     */
    private fun announceLeader(since: Revision, after: String? = null) {
        store.get(StoreRequests.replicaPagePath(after)) { result ->
            val body = result.successBody() ?: return@get
            val page = decodeReplicaPage(body).getOrElse {
                log.log(LogEvent.RANK_UNREADABLE, "detail" to it.detail)
                return@get
            }
            val announcement = rankJson.encodeToString(
                LeaderAnnouncement.serializer(),
                LeaderAnnouncement(leader = own.toString(), term = since.value),
            )
            for (r in page.replicas) {
                val agent = Endpoint(r.endpoint.host, own.port)
                if (r.service == service && agent != own) announceTo(agent, announcement)
            }
            page.next?.let { announceLeader(since, after = it) }
        }
    }

    private fun announceTo(agent: Endpoint, announcement: String) {
        val caller = HttpClient(agent, loop, REPLICA_TIMEOUT)
        caller.post(RankPaths.LEADER, announcement) { caller.close() }
    }

    private fun expertLayout(body: String, of: ServiceId): ExpertLayout? {
        val stored = decodeStoredValue(body).onFailure {
            log.log(LogEvent.CONFIGURATION_UNREADABLE, "detail" to it.detail)
        }
        val text = stored.get() ?: return null
        val configuration = decodeConfiguration(text.text, text.revision).getOrElse {
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

        /** A leader that has not replied to a status for this time may have lost its lease. */
        val LEADER_TIMEOUT: Duration = 1_200.milliseconds

        /** Used until the coordinator has set the interval. */
        const val INITIAL_REPORT_MILLIS = 500L

        /** About the duration of a pass, which bounds the rate of statuses. */
        const val TICK_MILLIS = 60L

        /** Choices in one status, one byte each, which makes a status about two kilobytes. */
        const val MAX_CHOICES = 1_100

        /**
         * Fraction of the status interval after which a status includes choices again; below 1, since ticks are coarse.
         */
        const val CHOICES_INTERVAL_FRACTION = 0.8

        /** Loading experts and reaching a switch takes well under a second. */
        val MAP_CHANGE_TIME: Duration = 1_000.milliseconds
        val COORDINATOR_RETRY_INTERVAL: Duration = 500.milliseconds
        val UNREADABLE = TextResponse(400, "unreadable message\n")
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_REFUSED = 409
        const val STATUS_NOT_FOUND = 404
    }
}
