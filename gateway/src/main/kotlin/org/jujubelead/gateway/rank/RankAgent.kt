/**
 * Agent of one rank: finds out which group the rank belongs to, sends its statuses to the coordinator of that group,
 * and carries out the coordinator's orders.
 *
 * It refuses orders for other groups and orders of earlier terms than the highest one that it has followed. Runs on the
 * agent's event loop.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.DeserializationStrategy
import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.Term
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.decodeExpertCounts
import org.jujubelead.platform.wire.decodeJson
import org.jujubelead.platform.wire.encodeOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @param own address of this agent.
 * @param replica client of the local replica.
 * @param onGroupChange called with the group that the rank belongs to from now on; null if it has belonged to none for
 * a while.
 */
internal class RankAgent(
    private val own: Endpoint,
    private val replica: RpcClient,
    private val runtime: AgentRuntime,
    private val onGroupChange: (GroupId?) -> Unit = {},
) {
    /** Null until the replica belongs to a group. */
    var rank: Int? = null
        private set
    private var group: GroupId? = null

    /** When the replica first gave no readable report after one that named [group]; null if the last one did. */
    private var groupUnknownSince: Timestamp? = null

    /** Until then the coordinator counts as alive. */
    var coordinatorAliveUntil = Timestamp.ZERO
        private set

    /** Highest term of a coordinator of [group] that this agent has followed or accepted an order of. */
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
    private val localRank = LocalRank(replica, runtime)
    private val relay = OrderRelay(runtime)
    private val sampler = ChoiceSampler()
    private var sampleBegunAt = Timestamp.ZERO
    private var reply = StatusReply(sets = 0, interval = INITIAL_REPORT_MILLIS, changeInterval = INITIAL_REPORT_MILLIS)

    /** Until then the coordinator waits for the effect of an order, which the answer to it did not show. */
    private var effectDueUntil = Timestamp.ZERO
    private var coordinator: RpcClient? = null

    /** Starts to send statuses. */
    fun start() {
        runtime.loop.scheduleRepeating(TICK_MILLIS, "rank status", ::tick)
    }

    /** Follows the coordinator at [leader], which leads since term [since]; null while there is none. */
    fun follow(leader: Endpoint?, since: Term?) {
        if (since != null) {
            term = maxOf(term, since.value)
            termKnown = true
        }
        if (coordinator?.endpoint != leader) {
            coordinator?.close()
            coordinator = leader?.let { runtime.clients.connect(it, STATUS_TIMEOUT) }
        }
        coordinatorAliveUntil = runtime.clock.now() + COORDINATOR_TIMEOUT
    }

    /** Reads the rank, and passes a reading of it to [done] if it belongs to a group that is known already. */
    private fun readRank(done: (RankReading) -> Unit) {
        localRank.read { reading ->
            val before = group
            if (reading == null) onNoReading() else onReading(reading.observation)
            if (reading != null && group == before) done(reading)
        }
    }

    private fun onReading(seen: RankObservation) {
        groupUnknownSince = null
        rank = seen.rank
        if (seen.group != group) joinGroup(seen.group)
    }

    private fun onNoReading() {
        val now = runtime.clock.now()
        val since = groupUnknownSince ?: now
        groupUnknownSince = since
        if (group != null && now - since > MAX_TIME_WITHOUT_GROUP) joinGroup(null)
    }

    /** Terms of coordinators of different groups cannot be compared. */
    private fun joinGroup(next: GroupId?) {
        runtime.log.log(LogEvent.GROUP_CHANGED, "before" to group, "now" to next, "rank" to rank)
        group = next
        follow(null, null)
        term = 0
        termKnown = false
        onGroupChange(next)
    }

    private fun tick() {
        val now = runtime.clock.now()
        if (coordinator == null) return findGroup(now)
        val interval = if (now < effectDueUntil) reply.changeInterval else reply.interval
        val due = reportedAt + interval.milliseconds
        when {
            now >= due -> {
                reportedAt = now
                report()
            }

            now >= due - SAMPLE_TIME && sampleBegunAt < due - SAMPLE_TIME * 2 -> {
                sampleBegunAt = now
                readCounts { sampler.begin(it) }
            }
        }
    }

    /** Reads the rank although nobody needs its status, as its group may have become known or may have changed. */
    private fun findGroup(now: Timestamp) {
        if (now < reportedAt + GROUP_READ_INTERVAL) return
        reportedAt = now
        readRank {}
    }

    private fun readCounts(done: (List<Int>) -> Unit) {
        replica.get(RankEndpoints.EXPERT_COUNTS_PATH) { counted ->
            done(counted.successBody()?.let { decodeExpertCounts(it).get() }.orEmpty())
        }
    }

    /** Sends a status of the rank to the coordinator. */
    fun report() {
        val to = coordinator ?: return
        // A status of a new term guarantees that this agent has no order of an earlier term in flight.
        if (ordersInFlight > 0) return
        val following = term
        readRank { reading ->
            if (to !== coordinator) return@readRank
            val now = runtime.clock.now()
            if (now < choicesDueAt) {
                // Statuses in quick succession leave out the counts.
                return@readRank sendStatus(to, following, reading, ChoiceSampler.Sample(0, emptyList()))
            }
            choicesDueAt = now + reply.interval.milliseconds * CHOICES_INTERVAL_FRACTION
            readCounts { counts ->
                sampleBegunAt = runtime.clock.now()
                sendStatus(to, following, reading, sampler.sample(counts, reply.sets, rank ?: 0))
            }
        }
    }

    private fun sendStatus(to: RpcClient, following: Long, reading: RankReading, sample: ChoiceSampler.Sample) {
        val compact = CompactCounts.of(sample.choices)
        val status = RankStatus(
            group = group ?: return,
            term = following,
            agent = own.toString(),
            replica = replica.endpoint.toString(),
            observed = reading,
            firstSet = sample.firstSet,
            choices = compact.text,
            choiceUnit = compact.unit,
        )
        to.post(RankPaths.STATUS, rankJson.encodeToString(RankStatus.serializer(), status)) { answered ->
            // A lost status is not resent; the next one replaces it.
            val body = answered.successBody() ?: return@post
            reply = runtime.decode(StatusReply.serializer(), body) ?: return@post
            coordinatorAliveUntil = runtime.clock.now() + reply.interval.milliseconds + COORDINATOR_TIMEOUT
        }
    }

    /** Carries out the order in [body] and relays it; answers with the results of all agents. */
    fun handleOrder(body: String, answer: (TextResponse) -> Unit) {
        val order = runtime.decode(RankOrder.serializer(), body) ?: return answer(UNREADABLE)
        if (order.group != group || order.term < term || !termKnown) {
            runtime.log.log(
                LogEvent.ORDER_REFUSED,
                "group" to order.group,
                "knownGroup" to group,
                "term" to order.term,
                "known" to term,
                "order" to (order.body ?: "prepare ${order.prepare?.version}"),
            )
            return answer(
                TextResponse(
                    STATUS_REFUSED,
                    "order for another group or of an earlier term, or the current term is not known yet\n",
                ),
            )
        }
        val map = order.prepare?.let { mapCache.resolve(it) }
        val forReplica = order.body ?: map?.let { prepareBody(checkNotNull(order.prepare), it) }
            ?: return answer(TextResponse(STATUS_NOT_FOUND, "base of the map is not known\n"))
        term = order.term
        var own: OrderResult? = null
        var relayed: List<OrderResult?>? = null
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
        localRank.send(forReplica, order.expected, onAnswer = { ordersInFlight-- }) { result ->
            effectDueUntil = if (lacksEffect(result, order)) runtime.clock.now() + MAX_EFFECT_TIME else Timestamp.ZERO
            own = result.copy(observed = result.observed?.takeIf { it.observation.group == order.group })
            answerWhenComplete()
        }
    }

    private fun lacksEffect(result: OrderResult, order: RankOrder): Boolean {
        val seen = result.observed?.observation ?: return true
        return order.expected?.shownBy(seen) == false
    }

    private fun prepareBody(prepare: PrepareOrder, map: GroupMap): String =
        encodeOrder(MapOrder.Prepare(MapVersion(prepare.version), map), prepare.epoch)

    /** Answers with the experts that the rank holds, as the replica names them. */
    fun handleHeldExperts(answer: (TextResponse) -> Unit) {
        replica.get(RankEndpoints.HELD_EXPERTS_PATH) { answer(it.get() ?: TextResponse(STATUS_UNAVAILABLE, "")) }
    }

    private companion object {
        /** A status that is late is still of use; it is not repeated. */
        val STATUS_TIMEOUT: Duration = 1_000.milliseconds

        /** A leader that has not replied to a status for this time may have lost its lease. */
        val COORDINATOR_TIMEOUT: Duration = 1_200.milliseconds

        /** Longer than a crashed rank or a cut connection takes to come back. */
        val MAX_TIME_WITHOUT_GROUP: Duration = 10.seconds
        val GROUP_READ_INTERVAL: Duration = 500.milliseconds

        /** Used until the coordinator has set the interval. */
        const val INITIAL_REPORT_MILLIS = 500L

        /** About the duration of a pass, which bounds the rate of statuses. */
        const val TICK_MILLIS = 60L

        /**
         * Fraction of the status interval after which a status includes choices again; below 1, since ticks are coarse.
         */
        const val CHOICES_INTERVAL_FRACTION = 0.8

        /**
         * Choices of a status are at most about this old. In a large group statuses are rare, and choices from before a
         * shift of demand would hide it.
         */
        val SAMPLE_TIME: Duration = 250.milliseconds

        /** Loading experts takes well under a second. */
        val MAX_EFFECT_TIME: Duration = 1_000.milliseconds
        val UNREADABLE = TextResponse(400, "unreadable message\n")
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_REFUSED = 409
        const val STATUS_NOT_FOUND = 404
    }
}

/** Returns null if [body] is not such a message: the address may belong to another process by now. */
internal fun <T : Any> AgentRuntime.decode(deserializer: DeserializationStrategy<T>, body: String): T? =
    decodeJson(deserializer.descriptor.serialName, deserializer, body).getOrElse {
        log.log(LogEvent.RANK_UNREADABLE, "detail" to it.detail)
        null
    }
