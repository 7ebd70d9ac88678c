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
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.HttpAnswer
import org.jujubelead.gateway.net.HttpCaller
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.store.LeaderElection
import org.jujubelead.gateway.store.Leadership
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.RankCalls
import org.jujubelead.platform.wire.StoreCalls
import org.jujubelead.platform.wire.decodeChoices
import org.jujubelead.platform.wire.decodeConfiguration
import org.jujubelead.platform.wire.decodeRankReport
import org.jujubelead.platform.wire.decodeStoredText
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
    private val replica = HttpCaller(replicaAddress, loop, REPLICA_TIMEOUT)
    private val store = HttpCaller(description.store, loop, STORE_TIMEOUT)
    private val election = LeaderElection(
        store = store,
        loop = loop,
        log = log,
        key = "rank-groups/${service.value}",
        own = own,
        turn = { rank },
        onChange = ::leadershipChanged,
    )
    private var rank = 0

    /** Highest term that this agent has followed or obeyed. */
    private var term = 0L

    /** False until the store has told who leads: an agent that has just started cannot tell a deposed coordinator. */
    private var termKnown = false
    private var ordersUnderWay = 0
    private var reportedAt = Timestamp.ZERO

    /** Until then the map is likely to change, and the coordinator waits for each report. */
    private var changingUntil = Timestamp.ZERO
    private var lastChoices: List<Int> = emptyList()
    private var leader: HttpCaller? = null
    private var coordinator: GroupCoordinator? = null
    private val stopped = CountDownLatch(1)

    /** Starts. Returns when the process has been stopped. */
    fun run() {
        listen(own, network) {
            servicePipeline(
                mapOf(
                    RankPaths.ORDER to { body, answer -> order(body, answer) },
                    RankPaths.HELD_EXPERTS to { _, answer -> heldExperts(answer) },
                    RankPaths.STATUS to { body, answer -> status(body, answer) },
                ),
            )
        }
        loop.execute { election.start() }
        loop.scheduleAtFixedRate(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
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
        val interval = if (now < changingUntil) TICK_MILLIS.milliseconds else REPORT_INTERVAL
        if (now - reportedAt < interval) return
        reportedAt = now
        report()
    }

    /** Tells the coordinator what the rank reports. */
    private fun report() {
        val to = leader ?: return
        // A status of a new term promises that no order of an earlier one is on its way through this agent.
        if (ordersUnderWay > 0) return
        val following = term
        read { reading ->
            if (reading == null) return@read
            decodeRankReport(reading.report, ProcessClock.now()).get()?.let { rank = it.observation.rank }
            replica.get(RankCalls.CHOICES_PATH) { counted ->
                val counts = counted.get()?.takeIf { it.status == STATUS_OK }?.let { decodeChoices(it.body).get() }
                val status = RankStatus(
                    term = following,
                    agent = own.toString(),
                    replica = replicaAddress.toString(),
                    observed = reading,
                    choices = newChoices(counts.orEmpty()),
                )
                to.post(RankPaths.STATUS, rankJson.encodeToString(RankStatus.serializer(), status)) {
                    // A lost status is replaced by the next one.
                }
            }
        }
    }

    private fun read(done: (RankReading?) -> Unit) {
        val readAt = ProcessClock.now()
        replica.get(RankCalls.REPORT_PATH) { result ->
            done(result.get()?.takeIf { it.status == STATUS_OK }?.let { RankReading(readAt.micros, it.body) })
        }
    }

    /** What was added to the counts since the last call. A restarted rank counts from the beginning. */
    private fun newChoices(counts: List<Int>): List<Int> {
        val before = lastChoices
        lastChoices = counts
        if (before.size != counts.size) return emptyList()
        val added = counts.indices.map { counts[it] - before[it] }
        return if (added.any { it < 0 }) emptyList() else added
    }

    private fun order(body: String, answer: (HttpAnswer) -> Unit) {
        val order = rankJson.decodeFromString(RankOrder.serializer(), body)
        if (order.term < term || !termKnown) {
            log.log(LogEvent.ORDER_REFUSED, "term" to order.term, "known" to term, "order" to order.body)
            return answer(HttpAnswer(STATUS_REFUSED, "an earlier term\n"))
        }
        term = order.term
        ordersUnderWay++
        changingUntil = ProcessClock.now() + CHANGE_TIME
        replica.post(RankCalls.ORDER_PATH, order.body) { result ->
            ordersUnderWay--
            val status = result.get()?.status
            read { reading ->
                val outcome = OrderResult(status, reading)
                answer(HttpAnswer(STATUS_OK, rankJson.encodeToString(OrderResult.serializer(), outcome)))
            }
        }
    }

    private fun heldExperts(answer: (HttpAnswer) -> Unit) {
        replica.get(RankCalls.HELD_EXPERTS_PATH) { answer(it.get() ?: HttpAnswer(STATUS_UNAVAILABLE, "")) }
    }

    private fun status(body: String, answer: (HttpAnswer) -> Unit) {
        val to = coordinator ?: return answer(HttpAnswer(STATUS_UNAVAILABLE, "not the coordinator\n"))
        to.status(rankJson.decodeFromString(RankStatus.serializer(), body))
        answer(HttpAnswer(STATUS_OK, ""))
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
            leader = address?.let { HttpCaller(it, loop, REPLICA_TIMEOUT) }
        }
        if (now is Leadership.Leader) coordinate(now.since)
    }

    /** Reads the layout of experts, and starts to coordinate with it. */
    private fun coordinate(since: Revision) {
        store.get(StoreCalls.CONFIGURATION_PATH) { result ->
            val body = result.get()?.takeIf { it.status == STATUS_OK }?.body
            val layout = body?.let { expertLayout(it, service) }
            if (election.leadership != Leadership.Leader(since)) return@get
            if (layout == null) {
                loop.schedule({ coordinate(since) }, RETRY_MILLIS, TimeUnit.MILLISECONDS)
            } else {
                coordinator = GroupCoordinator(loop, log, layout, since, prove = election::prove)
            }
        }
    }

    private fun expertLayout(body: String, of: ServiceId): ExpertLayout? {
        val stored = decodeStoredText(body).onFailure {
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

        /** Four times a second: demand shifts every few seconds. */
        val REPORT_INTERVAL: Duration = 240.milliseconds

        /** About a pass: during a change a report is due with each. */
        const val TICK_MILLIS = 60L

        /** Experts are loaded, and a switch is reached, well within a second. */
        val CHANGE_TIME: Duration = 800.milliseconds
        const val RETRY_MILLIS = 500L
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_REFUSED = 409
    }
}
