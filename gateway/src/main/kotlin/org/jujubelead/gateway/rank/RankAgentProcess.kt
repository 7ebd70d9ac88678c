/**
 * Process of a rank agent, which runs on the instance of each model replica.
 *
 * The agent reads reports and counts from the local replica, which is cheap and gives fresh values, sends them to the
 * coordinator of its group, and forwards the coordinator's orders to the replica. Any agent can be elected coordinator;
 * a coordinator has no state that its successor needs. Runs on one event loop.
 */
package org.jujubelead.gateway.rank

import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.gateway.telemetry.LoopDelayMonitor
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
    private val agent = RankAgent(own, replica, runtime, ::groupChanged)

    /** Null while the rank belongs to no group: its agent leads none then. */
    private var membership: GroupMembership? = null
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
        loop.execute {
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

    private fun groupChanged(group: GroupId?) {
        membership?.stop()
        membership = group?.let { GroupMembership(service, it, own, agent, store, runtime).apply { start() } }
    }

    private fun handleStatus(body: String, answer: (TextResponse) -> Unit) {
        val status = runtime.decode(RankStatus.serializer(), body) ?: return answer(UNREADABLE)
        val reply = membership?.onStatus(status, bytes = body.length)
            ?: return answer(TextResponse(STATUS_UNAVAILABLE, "this agent is not the coordinator\n"))
        answer(TextResponse(STATUS_OK, rankJson.encodeToString(StatusReply.serializer(), reply)))
    }

    private fun handleLeaderAnnouncement(body: String, answer: (TextResponse) -> Unit) {
        val announcement = runtime.decode(LeaderAnnouncement.serializer(), body) ?: return answer(UNREADABLE)
        membership?.onAnnouncement(announcement)
        answer(TextResponse(STATUS_OK, ""))
    }

    private companion object {
        /** Timeout of calls on the same instance. */
        val REPLICA_TIMEOUT: Duration = 200.milliseconds
        val STORE_TIMEOUT: Duration = 1_000.milliseconds
        val UNREADABLE = TextResponse(400, "unreadable message\n")
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
