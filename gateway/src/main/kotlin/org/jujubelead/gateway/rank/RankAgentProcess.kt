/**
 * The rank agent: one process beside each model replica.
 *
 * Reports, counts and orders cost nothing and are fresh from the replica's own machine. The agent tells the coordinator
 * of its group what its rank reports, and passes the coordinator's orders on. Any agent can be elected coordinator; it
 * holds no state that a successor would need. Everything runs on one thread.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.store.LeaderElection
import org.jujubelead.gateway.store.Leadership
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.gateway.telemetry.scheduleRepeating
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeConfiguration
import org.jujubelead.platform.wire.decodeExpertCounts
import org.jujubelead.platform.wire.decodeRankReport
import org.jujubelead.platform.wire.decodeReplicaPage
import org.jujubelead.platform.wire.decodeStoredValue
import org.jujubelead.platform.wire.encodeOrder
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class RankAgentProcess(private val description: ProcessDescription, private val log: EventLog) {
    private val network = NioEventLoopGroup(1)
    private val loop = network.next()
    private val own = Endpoint(description.machine, description.internalPorts.first)
    private val replicaAddress = requireNotNull(description.replica) { "a rank agent needs the address of its replica" }
    private val service = requireNotNull(description.service) { "a rank agent needs the service of its replica" }
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

    /** Highest term that this agent has followed or obeyed. */
    private var term = 0L

    /** False until the store has told who leads: an agent that has just started cannot tell a deposed coordinator. */
    private var termKnown = false
    private var ordersInFlight = 0
    private var reportedAt = Timestamp.ZERO
    private var choicesDueAt = Timestamp.ZERO
    private val mapCache = MapCache()
    private var reply = StatusReply(sets = 0, interval = INITIAL_REPORT_MILLIS, changeInterval = INITIAL_REPORT_MILLIS)
    private var sampleRound = 0

    /** Until then the map is likely to change, and the coordinator waits for each report. */
    private var mapChangeUntil = Timestamp.ZERO
    private var lastCounts: List<Int> = emptyList()
    private var leader: HttpClient? = null
    private var leaderAliveUntil = Timestamp.ZERO
    private var coordinator: GroupCoordinator? = null
    private val stopped = CountDownLatch(1)

    /** Starts. Returns when the process has been stopped. */
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
        // The rank decides whose turn it is, so that the agents of a restarted deployment do not all try at once.
        loop.execute {
            read { reading ->
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

    /** Tells the coordinator what the rank reports. */
    private fun report() {
        val to = leader ?: return
        // A status of a new term promises that no order of an earlier one is on its way through this agent.
        if (ordersInFlight > 0) return
        val following = term
        read { reading ->
            if (reading == null) return@read
            updateOwnRank(reading)
            val now = ProcessClock.now()
            // While the map is changed, the frequent statuses are about the change alone.
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
            // A lost status is replaced by the next one.
            val body = answered.successBody() ?: return@post
            reply = rankJson.decodeFromString(StatusReply.serializer(), body)
            leaderAliveUntil = ProcessClock.now() + reply.interval.milliseconds + LEADER_TIMEOUT
        }
    }

    private fun updateOwnRank(reading: RankReading) {
        decodeRankReport(reading.report, ProcessClock.now())
            .onSuccess { rank = it.observation.rank }
            .onFailure { log.log(LogEvent.RANK_UNREADABLE, "replica" to replicaAddress, "detail" to it.detail) }
    }

    /**
     * The choices of as many whole sets as fit into a status. Ranks begin with different sets and take turns, so that
     * all sets are sampled at any time.
     */
    private fun sample(choices: List<Int>): Pair<Int, List<Int>> {
        if (reply.sets == 0 || choices.isEmpty()) return 0 to emptyList()
        val perSet = choices.size / reply.sets
        val whole = (MAX_CHOICES / perSet).coerceIn(1, reply.sets)
        val firstSet = ((rank ?: 0) + sampleRound++) * whole % reply.sets
        val end = minOf(firstSet + whole, reply.sets)
        return firstSet to choices.subList(firstSet * perSet, end * perSet)
    }

    private fun read(done: (RankReading?) -> Unit) {
        val readAt = ProcessClock.now()
        replica.get(RankEndpoints.REPORT_PATH) { result ->
            done(result.successBody()?.let { RankReading(readAt.micros, it) })
        }
    }

    /** What was added to the counts since the last call. A restarted rank counts from the beginning. */
    private fun choicesSinceLastRead(counts: List<Int>): List<Int> {
        val before = lastCounts
        lastCounts = counts
        if (before.size != counts.size) return emptyList()
        val added = counts.indices.map { counts[it] - before[it] }
        return if (added.any { it < 0 }) emptyList() else added
    }

    private fun handleOrder(body: String, answer: (TextResponse) -> Unit) {
        val order = rankJson.decodeFromString(RankOrder.serializer(), body)
        if (order.term < term || !termKnown) {
            log.log(
                LogEvent.ORDER_REFUSED,
                "term" to order.term,
                "known" to term,
                "order" to (order.body ?: "prepare ${order.prepare?.version}"),
            )
            return answer(TextResponse(STATUS_REFUSED, "an earlier term\n"))
        }
        val forReplica = order.body ?: order.prepare?.let { prepareBody(it) }
            ?: return answer(TextResponse(STATUS_NOT_FOUND, "the base of the map is not known\n"))
        term = order.term
        ordersInFlight++
        mapChangeUntil = ProcessClock.now() + MAP_CHANGE_TIME
        replica.post(RankEndpoints.ORDER_PATH, forReplica) { result ->
            ordersInFlight--
            val status = result.get()?.status
            read { reading ->
                val outcome = OrderResult(status, reading)
                answer(TextResponse(STATUS_OK, rankJson.encodeToString(OrderResult.serializer(), outcome)))
            }
        }
    }

    private fun prepareBody(order: PrepareOrder): String? =
        mapCache.resolve(order)?.let { encodeOrder(MapOrder.Prepare(MapVersion(order.version), it), order.epoch) }

    private fun handleHeldExperts(answer: (TextResponse) -> Unit) {
        replica.get(RankEndpoints.HELD_EXPERTS_PATH) { answer(it.get() ?: TextResponse(STATUS_UNAVAILABLE, "")) }
    }

    private fun handleStatus(body: String, answer: (TextResponse) -> Unit) {
        val to = coordinator ?: return answer(TextResponse(STATUS_UNAVAILABLE, "not the coordinator\n"))
        val reply = to.onStatus(rankJson.decodeFromString(RankStatus.serializer(), body))
        answer(TextResponse(STATUS_OK, rankJson.encodeToString(StatusReply.serializer(), reply)))
    }

    private fun handleLeaderAnnouncement(body: String, answer: (TextResponse) -> Unit) {
        val announcement = rankJson.decodeFromString(LeaderAnnouncement.serializer(), body)
        Endpoint.parse(announcement.leader)?.let { election.onAnnouncement(it, Revision(announcement.term)) }
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
        if (since != null) {
            term = maxOf(term, since.value)
            termKnown = true
        }
        if (leader?.endpoint != address) {
            leader?.close()
            leader = address?.let { HttpClient(it, loop, REPLICA_TIMEOUT) }
        }
        leaderAliveUntil = ProcessClock.now() + LEADER_TIMEOUT
        if (now is Leadership.Leader) startCoordinator(now.since) else report()
    }

    /** Reads the layout of experts, and starts to coordinate with it. */
    private fun startCoordinator(since: Revision) {
        store.get(StoreRequests.CONFIGURATION_PATH) { result ->
            val body = result.successBody()
            val layout = body?.let { expertLayout(it, service) }
            if (election.leadership != Leadership.Leader(since)) return@get
            if (layout == null) {
                loop.schedule({ startCoordinator(since) }, RETRY_MILLIS, TimeUnit.MILLISECONDS)
            } else {
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
        }
    }

    /** Tells the agents of all ranks who leads now. Those that are missed find it in the store. */
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
        /** Calls on the same machine, or between agents of one region. */
        val REPLICA_TIMEOUT: Duration = 200.milliseconds
        val STORE_TIMEOUT: Duration = 1_000.milliseconds

        /** Turns by address among agents that do not know their ranks yet. */
        const val CANDIDATE_INDEXES_WITHOUT_RANK = 32

        /** A leader that leaves statuses unanswered for so long may have lost its lease. */
        val LEADER_TIMEOUT: Duration = 1_200.milliseconds

        /** Until the coordinator has told how often it wants to hear. */
        const val INITIAL_REPORT_MILLIS = 500L

        /** About a pass: statuses are no more frequent. */
        const val TICK_MILLIS = 60L

        /** Choices in one status, a byte each; a status is then about two kilobytes. */
        const val MAX_CHOICES = 1_100

        /** Part of the interval of statuses after which one has choices again; its ticks are coarse. */
        const val CHOICES_INTERVAL_FRACTION = 0.8

        /** Experts are loaded, and a switch is reached, well within a second. */
        val MAP_CHANGE_TIME: Duration = 1_000.milliseconds
        const val RETRY_MILLIS = 500L
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_REFUSED = 409
        const val STATUS_NOT_FOUND = 404
    }
}
