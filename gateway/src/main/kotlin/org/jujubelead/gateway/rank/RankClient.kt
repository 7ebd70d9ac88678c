/**
 * The coordinator's way to one rank, through the agent beside it.
 *
 * Sends one order at a time, and keeps the newest observation. While an agent is silent, since its instance is
 * suspended or cut off, its replica is read directly, and orders that end a hold are sent directly: the whole group
 * waits for them, and they are safe whoever sends them. Orders that begin a change always go through the agent: only an
 * agent can tell that the coordinator who sent one has been deposed. A link exists only after its agent has followed
 * this coordinator's term, so the agent lets no order of an earlier term through when it comes back. Runs on the
 * control thread.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.decodeHeldExperts
import org.jujubelead.platform.wire.decodeRankReport
import org.jujubelead.platform.wire.encodeOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** @param term of the coordinator. */
internal class RankClient(
    val agent: Endpoint,
    private val replica: Endpoint,
    private val term: Long,
    loop: EventLoop,
    private val log: EventLog,
) {
    private val agentClient = HttpClient(agent, loop, ORDER_TIMEOUT)
    private val replicaClient = HttpClient(replica, loop, DIRECT_TIMEOUT)
    private var orderUnanswered = false

    /** True when the agent has just said that it does not know the map that an order builds on. */
    private var needsFullMap = false
    private var lastAgentContactAt = ProcessClock.now()
    private var reading = false
    private var nextDirectReadAt = Timestamp.ZERO

    var observation: RankObservation? = null
        private set
    private var readAtMicros = Long.MIN_VALUE
    private var inFlight = false
    private var nextSendAt = Timestamp.ZERO
    private var accepted: MapOrder? = null
    private var acceptedAt = Timestamp.ZERO

    /** True when an order to the agent was not answered, or when it has not been heard for [silenceTimeout]. */
    fun silent(now: Timestamp, silenceTimeout: Duration): Boolean = orderUnanswered || now - lastAgentContactAt > silenceTimeout

    /** Reads the rank at its replica, unless that is being done or has just failed; [done] follows a reading. */
    fun readDirectly(done: () -> Unit) {
        val now = ProcessClock.now()
        if (reading || now < nextDirectReadAt) return
        reading = true
        replicaClient.get(RankEndpoints.REPORT_PATH) { result ->
            reading = false
            val report = result.successBody()
            nextDirectReadAt = ProcessClock.now() + if (report == null) FAILED_READ_DELAY else DIRECT_READ_INTERVAL
            if (report != null && update(report, ProcessClock.now())) done()
        }
    }

    /** Takes in a reading of the agent, unless a newer one is known. */
    fun onReading(reading: RankReading) {
        val now = ProcessClock.now()
        lastAgentContactAt = now
        orderUnanswered = false
        val last = observation
        // The agent's clock begins anew when its instance does.
        val comparable = last != null && now - last.observedAt < MAX_COMPARABLE_AGE
        if (comparable && reading.readAtMicros < readAtMicros) return
        if (update(reading.report, now)) readAtMicros = reading.readAtMicros
    }

    private fun update(report: String, now: Timestamp): Boolean {
        val read = decodeRankReport(report, now).getOrElse {
            log.log(LogEvent.RANK_UNREADABLE, "replica" to replica, "detail" to it.detail)
            return false
        }
        observation = read.observation
        return true
    }

    /**
     * Sends [order] unless one is on its way, or this one was accepted and may not show yet; tells whether it did. An
     * agent that has not been heard for [silenceTimeout] is passed by.
     */
    fun send(order: MapOrder, silenceTimeout: Duration, done: () -> Unit): Boolean {
        val seen = observation ?: return false
        val now = ProcessClock.now()
        val pendingEffect = order == accepted && now - acceptedAt < REPEAT_DELAY
        if (inFlight || pendingEffect || now < nextSendAt) return false
        inFlight = true
        val endsHold = order is MapOrder.Arm || order is MapOrder.Release
        if (silent(now, silenceTimeout) && endsHold) {
            sendDirectly(order, encodeOrder(order, seen.epoch), now, done)
        } else {
            sendThroughAgent(order, seen.epoch, now, done)
        }
        return true
    }

    private fun sendThroughAgent(order: MapOrder, epoch: Long, sentAt: Timestamp, done: () -> Unit) {
        val forAgent = when (order) {
            is MapOrder.Prepare -> RankOrder(term, body = null, prepare = prepareOrder(order, epoch))
            is MapOrder.Arm, is MapOrder.Hold, is MapOrder.Release -> RankOrder(term, encodeOrder(order, epoch))
        }
        val message = rankJson.encodeToString(RankOrder.serializer(), forAgent)
        agentClient.post(RankPaths.ORDER, message) { result ->
            inFlight = false
            orderUnanswered = result.get() == null
            needsFullMap = result.get()?.status == STATUS_NOT_FOUND
            val outcome = result.successBody()?.let { rankJson.decodeFromString(OrderResult.serializer(), it) }
            onOrderEnded(order, outcome?.status, outcome?.observed?.report, sentAt)
            outcome?.observed?.let(::onReading)
            done()
        }
    }

    private fun prepareOrder(order: MapOrder.Prepare, epoch: Long): PrepareOrder {
        val version = order.version.value
        val base = order.base
        if (base == null || needsFullMap) return PrepareOrder(version, epoch, map = encodeMap(order.map))
        return PrepareOrder(version, epoch, base.version.value, changes = encodeChanges(base.map, order.map))
    }

    private fun sendDirectly(order: MapOrder, body: String, sentAt: Timestamp, done: () -> Unit) {
        replicaClient.post(RankEndpoints.ORDER_PATH, body) { result ->
            replicaClient.get(RankEndpoints.REPORT_PATH) { read ->
                inFlight = false
                val report = read.successBody()
                onOrderEnded(order, result.get()?.status, report, sentAt)
                if (report != null) update(report, ProcessClock.now())
                done()
            }
        }
    }

    private fun onOrderEnded(order: MapOrder, status: Int?, report: String?, sentAt: Timestamp) {
        val now = ProcessClock.now()
        val done = status in RankEndpoints.ACCEPTED_STATUSES
        log.log(
            if (done) LogEvent.MAP_ORDER_ENDED else LogEvent.MAP_ORDER_FAILED,
            "rank" to observation?.rank,
            "order" to order,
            "status" to status,
            "agentSilent" to orderUnanswered,
            "millis" to (now - sentAt).inWholeMilliseconds,
            "report" to if (done) null else report,
        )
        if (done) {
            accepted = order
            acceptedAt = now
        } else {
            nextSendAt = now + FAILED_ORDER_DELAY
        }
    }

    /** Asks which experts the rank holds in each set. */
    fun heldExperts(done: (List<List<Int>>?) -> Unit) {
        agentClient.get(RankPaths.HELD_EXPERTS) { result ->
            val body = result.successBody() ?: return@get done(null)
            val held = decodeHeldExperts(body).getOrElse {
                log.log(LogEvent.RANK_UNREADABLE, "replica" to replica, "detail" to it.detail)
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

        /** An agent's own time limits for an order and the report after it, and the way there. */
        val ORDER_TIMEOUT: Duration = 450.milliseconds
        val DIRECT_TIMEOUT: Duration = 250.milliseconds

        /** A rank needs some time to load experts and to show it. */
        val REPEAT_DELAY: Duration = 900.milliseconds

        /** The next observation may show why an order failed. */
        val FAILED_ORDER_DELAY: Duration = 60.milliseconds
        val MAX_COMPARABLE_AGE: Duration = 1.seconds

        /** A read from another machine has a price; a group that is held waits for it. */
        val DIRECT_READ_INTERVAL: Duration = 100.milliseconds

        /** A replica that does not answer either is cut off, and so is its group. */
        val FAILED_READ_DELAY: Duration = 500.milliseconds
    }
}
