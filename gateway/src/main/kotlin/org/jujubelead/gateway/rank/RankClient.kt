/**
 * Sends a coordinator's orders to one rank through its agent, and keeps the latest observation of the rank.
 *
 * One order is in flight at a time. While the agent is silent, because its instance is suspended or partitioned, the
 * replica is read directly. Orders that end a hold are then sent directly too: the whole group waits for them, and they
 * are safe whoever sends them. Orders that begin a change always go through the agent, as only the agent can detect
 * that their coordinator was deposed. A client is created only after its agent has followed this coordinator's term, so
 * an agent that recovers does not forward orders of earlier terms. Runs on the agent's event loop.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.schedule.InProgress
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.HeldExperts
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.WireDecoders
import org.jujubelead.platform.wire.decodeJson
import org.jujubelead.platform.wire.encodeOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @param group group of the coordinator. Orders are sent while the rank belongs to it.
 * @param term term of the coordinator.
 */
internal class RankClient(
    private val group: GroupId,
    val agent: Endpoint,
    private val replica: Endpoint,
    private val term: Long,
    private val runtime: AgentRuntime,
    private val decoders: WireDecoders = WireDecoders,
    private val dispatch: OrderDispatch = OrderDispatch(),
) {
    private val traffic = dispatch.traffic
    private val agentClient = runtime.clients.connect(agent, HELD_EXPERTS_TIMEOUT)
    private val replicaClient = runtime.clients.connect(replica, DIRECT_TIMEOUT)
    private var orderUnanswered = false

    /** True if the agent does not know the map that the last order was based on. */
    private var needsFullMap = false
    private var lastAgentContactAt = runtime.clock.now()
    private val directRead = InProgress(MAX_CALL_TIME)
    private var nextDirectReadAt = Timestamp.ZERO

    var observation: RankObservation? = null
        private set
    private var readAtMicros = Long.MIN_VALUE
    private val orderInFlight = InProgress(MAX_CALL_TIME)
    private var nextSendAt = Timestamp.ZERO
    private var accepted: MapOrder? = null
    private var acceptedAt = Timestamp.ZERO

    /** True if the last order to the agent got no response, or if the agent has been silent for [silenceTimeout]. */
    fun silent(now: Timestamp, silenceTimeout: Duration): Boolean =
        orderUnanswered || now - lastAgentContactAt > silenceTimeout

    /**
     * Reads the rank directly from its replica, unless a read is in flight or the last one was too recent. Calls [done]
     * after a successful read.
     */
    fun readDirectly(done: () -> Unit) {
        val now = runtime.clock.now()
        if (directRead.at(now) || now < nextDirectReadAt) return
        directRead.begin(now)
        replicaClient.get(RankEndpoints.REPORT_PATH) { result ->
            directRead.end()
            val report = result.successBody()
            traffic.record(MessageKind.DIRECT_READ, report?.length ?: 0)
            nextDirectReadAt = runtime.clock.now() + if (report == null) FAILED_READ_DELAY else DIRECT_READ_INTERVAL
            if (report != null && update(report, runtime.clock.now())) done()
        }
    }

    /** Handles a reading of the group's rank from the agent. Readings older than the latest one are dropped. */
    fun onReading(reading: RankReading) {
        val now = runtime.clock.now()
        lastAgentContactAt = now
        orderUnanswered = false
        val last = observation
        // The agent's clock restarts with its instance, so readings are compared only within a short time.
        val comparable = last != null && now - last.observedAt < MAX_COMPARABLE_AGE
        if (comparable && reading.readAtMicros < readAtMicros) return
        observation = reading.observation.copy(group = group, observedAt = now)
        readAtMicros = reading.readAtMicros
    }

    private fun update(report: String, now: Timestamp): Boolean {
        val read = decoders.rankReport(report, now).getOrElse {
            runtime.log.log(LogEvent.RANK_UNREADABLE, "replica" to replica, "detail" to it.detail)
            return false
        }
        observation = read
        return true
    }

    /**
     * Sends [order] and returns true, if it is due. Bypasses an agent that has been silent for [silenceTimeout] if the
     * order ends a hold. The agent relays the order to the agents of [relayTo].
     */
    fun send(
        order: MapOrder,
        silenceTimeout: Duration,
        relayTo: List<RankClient> = emptyList(),
        done: () -> Unit,
    ): Boolean {
        val seen = observation ?: return false
        val now = runtime.clock.now()
        if (!isDue(order, now)) return false
        orderInFlight.begin(now)
        relayTo.forEach { it.orderInFlight.begin(now) }
        val endsHold = order is MapOrder.Arm || order is MapOrder.Release
        if (silent(now, silenceTimeout) && endsHold) {
            sendDirectly(order, encodeOrder(order, seen.epoch), now, done)
        } else {
            sendThroughAgent(order, seen.epoch, relayTo, now, done)
        }
        return true
    }

    /** True unless an order is in flight or [order] was accepted recently and may not be visible yet. */
    fun isDue(order: MapOrder, now: Timestamp): Boolean {
        val pendingEffect = order == accepted && now - acceptedAt < REPEAT_DELAY
        return observation?.group == group && !orderInFlight.at(now) && !pendingEffect && now >= nextSendAt
    }

    private fun sendThroughAgent(
        order: MapOrder,
        epoch: Long,
        relayTo: List<RankClient>,
        sentAt: Timestamp,
        done: () -> Unit,
    ) {
        val timeout = dispatch.timeoutOf(order)
        val isMap = order is MapOrder.Prepare
        val forAgent = RankOrder(
            group = group,
            term = term,
            body = if (isMap) null else encodeOrder(order, epoch),
            prepare = (order as? MapOrder.Prepare)?.let { dispatch.prepareOrder(it, epoch, complete = needsFullMap) },
            expected = ExpectedState.of(order),
            relayTo = relayTo.map { it.agent.toString() },
            relayMillis = if (relayTo.isEmpty()) 0 else timeout.current.inWholeMilliseconds,
        )
        val message = rankJson.encodeToString(RankOrder.serializer(), forAgent)
        traffic.record(MessageKind.ORDER, message.length)
        agentClient.post(RankPaths.ORDER, message, timeout.current * AGENT_TIMEOUT_FACTOR) { result ->
            traffic.record(MessageKind.RESULT, result.get()?.body?.length ?: 0)
            traffic.recordOrderEnd(sentAt, runtime.clock.now(), answered = result.get() != null)
            try {
                onOrderAnswer(order, result, relayTo, sentAt)
            } finally {
                done()
            }
        }
    }

    private fun onOrderAnswer(
        order: MapOrder,
        result: Result<TextResponse, CallFailure>,
        relayTo: List<RankClient>,
        sentAt: Timestamp,
    ) {
        needsFullMap = result.get()?.status == STATUS_NOT_FOUND
        val body = result.successBody()
        val outcome = body?.let(::decodeResult)
        val answered = result.get() != null && (body == null || outcome != null)
        orderEnded(order, outcome, answered, sentAt)
        val relayed = outcome?.relayed.orEmpty()
        relayTo.forEachIndexed { i, client ->
            val ofClient = relayed.getOrNull(i)
            client.orderEnded(order, ofClient, answered = outcome == null || ofClient != null, sentAt)
        }
        // A relay that waited for another agent says nothing about how long answers take.
        when {
            result.get() == null -> dispatch.unanswered(order)
            null !in relayed -> dispatch.answered(order, runtime.clock.now() - sentAt)
        }
    }

    /** An agent whose answer cannot be read counts as silent, so that an order that ends a hold bypasses it. */
    private fun decodeResult(body: String): OrderResult? =
        decodeJson("order result", OrderResult.serializer(), body).getOrElse {
            runtime.log.log(LogEvent.RANK_UNREADABLE, "agent" to agent, "detail" to it.detail)
            null
        }

    /** @param answered false if the agent of this rank was asked and did not answer. */
    private fun orderEnded(order: MapOrder, outcome: OrderResult?, answered: Boolean, sentAt: Timestamp) {
        orderInFlight.end()
        orderUnanswered = !answered
        logOrderEnd(order, outcome?.status, outcome?.observed?.observation, sentAt)
        outcome?.observed?.let(::onReading)
    }

    private fun sendDirectly(order: MapOrder, body: String, sentAt: Timestamp, done: () -> Unit) {
        replicaClient.post(RankEndpoints.ORDER_PATH, body) { result ->
            replicaClient.get(RankEndpoints.REPORT_PATH) { read ->
                orderInFlight.end()
                read.successBody()?.let { update(it, runtime.clock.now()) }
                logOrderEnd(order, result.get()?.status, observation, sentAt)
                done()
            }
        }
    }

    private fun logOrderEnd(order: MapOrder, status: Int?, seen: RankObservation?, sentAt: Timestamp) {
        val now = runtime.clock.now()
        val done = status in RankEndpoints.ACCEPTED_STATUSES
        runtime.log.log(
            if (done) LogEvent.MAP_ORDER_ENDED else LogEvent.MAP_ORDER_FAILED,
            "rank" to observation?.rank,
            "order" to order,
            "status" to status,
            "agentSilent" to orderUnanswered,
            "millis" to (now - sentAt).inWholeMilliseconds,
            "report" to if (done) null else seen,
        )
        if (done) {
            accepted = order
            acceptedAt = now
        } else {
            nextSendAt = now + FAILED_ORDER_DELAY
        }
    }

    /** Reads the experts that the rank holds in each set. */
    fun heldExperts(done: (HeldExperts?) -> Unit) {
        agentClient.get(RankPaths.HELD_EXPERTS) { result ->
            val body = result.successBody() ?: return@get done(null)
            val held = decoders.heldExperts(body).getOrElse {
                runtime.log.log(LogEvent.RANK_UNREADABLE, "replica" to replica, "detail" to it.detail)
                null
            }
            done(held)
        }
    }

    fun close() {
        agentClient.close()
        replicaClient.close()
    }

    private companion object {
        const val STATUS_NOT_FOUND = 404

        /** Longer than any call of this client, or two of them. */
        val MAX_CALL_TIME: Duration = 5.seconds

        /** An agent has this much more time than those to which it relays an order. */
        const val AGENT_TIMEOUT_FACTOR = 1.5
        val HELD_EXPERTS_TIMEOUT: Duration = 1.seconds
        val DIRECT_TIMEOUT: Duration = 250.milliseconds

        /** A rank takes some time to load experts and to report them. */
        val REPEAT_DELAY: Duration = 900.milliseconds

        /** Waits for the next observation, which may show why the order failed. */
        val FAILED_ORDER_DELAY: Duration = 60.milliseconds
        val MAX_COMPARABLE_AGE: Duration = 1.seconds

        /** Limits the cost of reads from other instances; a held group waits for them. */
        val DIRECT_READ_INTERVAL: Duration = 100.milliseconds

        /** If the replica does not respond either, it is partitioned, and its group has failed. */
        val FAILED_READ_DELAY: Duration = 500.milliseconds
    }
}
