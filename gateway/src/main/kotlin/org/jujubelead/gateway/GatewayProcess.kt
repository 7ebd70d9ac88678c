/**
 * Process of a gateway, which runs on each instance that callers connect to.
 *
 * One event loop handles the control plane (configuration and replicas), another one the data plane. A stop first makes
 * the readiness check fail, continues serving while callers still connect, and exits after the last response.
 */
package org.jujubelead.gateway

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.caller.DataPlane
import org.jujubelead.gateway.caller.GracefulStop
import org.jujubelead.gateway.caller.callerPipeline
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.peers.LimitExchange
import org.jujubelead.gateway.peers.LoadExchange
import org.jujubelead.gateway.peers.Peer
import org.jujubelead.gateway.peers.PeerDirectory
import org.jujubelead.gateway.quarantine.EvidenceReports
import org.jujubelead.gateway.quarantine.EvidenceStore
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.store.ReplicaRelay
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.store.StorePoller
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.GatewayMetrics
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.gateway.telemetry.LoopDelayMonitor
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class GatewayProcess(private val description: ProcessDescription, private val log: EventLog) {
    private val control = NioEventLoopGroup(1)
    private val network = NioEventLoopGroup(1)
    private val metrics = GatewayMetrics()
    private val own = Endpoint(description.machine, description.internalPorts.first)
    private val dataPlane = DataPlane(network.next(), log, metrics, description.bounds, description.zone, own)
    private val stopped = CountDownLatch(1)
    private lateinit var callerListener: Channel
    private var lastReady = false
    private var lastListOverdue = false

    /** Runs the gateway until it has been stopped. */
    fun run() {
        val startedAt = ProcessClock.now()
        val callers = requireNotNull(description.callers) { "field callers is required for a gateway" }
        val readiness = requireNotNull(description.readiness) { "field readiness is required for a gateway" }
        val store = StoreClient(HttpClient(description.store, control.next(), timeout = STORE_TIMEOUT), log)
        val interval = description.bounds.pollInterval
        val relay =
            ReplicaRelay(control.next(), description.zone, own, log, maxAge = interval * MAX_LIST_AGE_INTERVALS)
        val evidence = EvidenceStore(
            store = store,
            loop = control.next(),
            log = log,
            onEvidence = { network.next().execute { dataPlane.prompts.merge(it) } },
            onTrial = { key, record -> network.next().execute { dataPlane.prompts.startTrial(key, record) } },
        )
        val follower = StorePoller(store, control.next(), log, interval, relay, evidence) { state ->
            dataPlane.state = state
            network.next().execute { guarded("replicas changed", dataPlane::replicasChanged) }
        }
        follower.start()
        val reports = EvidenceReports(log, { dataPlane.prompts.records }, dataPlane.prompts::merge)
        dataPlane.prompts.onEvidence = { records, observed ->
            reports.onChanged()
            control.next().execute { evidence.publish(records, observed) }
        }
        network.next().scheduleRepeating(TRIAL_CHECK_INTERVAL_MILLIS, "trials") { requestDueTrial(evidence) }
        val exchange = LoadExchange(
            description.zone,
            dataPlane::inFlightByReplica,
            dataPlane::onPeerLoads,
            dataPlane.slowRanks,
            reports,
            LimitExchange(dataPlane.replicaLimits, dataPlane::limitsToReport),
        )
        exchange.start(own, network)
        val self = Peer(own, description.zone)
        PeerDirectory(store, control.next(), description.instance, self) { peers ->
            log.log(LogEvent.PEERS_CHANGED, "peers" to peers.joinToString(" ") { it.endpoint.toString() })
            relay.peersChanged(peers)
            network.next().execute {
                exchange.peers = peers
                dataPlane.gatewayCount = peers.size + 1
                dataPlane.replicaLimits.instances = (peers + self).associate { it.endpoint to it.zone }
            }
        }.start()
        listen(readiness, network) { servicePipeline(mapOf("/ready" to { _, answer -> answer(readiness()) })) }
        callerListener = listen(callers, network) { callerPipeline(dataPlane) }
        listen(own, network) {
            servicePipeline(
                mapOf(
                    "/metrics" to { _, answer -> answer(TextResponse(STATUS_OK, metrics.text())) },
                    ReplicaRelay.PATH to { _, answer -> answer(sharedList(relay)) },
                ),
            )
        }
        network.next().execute(dataPlane::start)
        startDelayMonitors()
        log.log(
            LogEvent.STARTED,
            "callers" to callers,
            "zone" to description.zone,
            "store" to description.store,
            "millis" to (ProcessClock.now() - startedAt).inWholeMilliseconds,
        )
        stopped.await()
    }

    private fun startDelayMonitors() {
        val data = LoopDelayMonitor(network.next(), log, "data") {
            metrics.loopDelay.observe(it.inWholeMicroseconds / MICROS_PER_SECOND)
        }
        network.next().execute(data::start)
        control.next().execute(LoopDelayMonitor(control.next(), log, "control")::start)
    }

    private fun requestDueTrial(evidence: EvidenceStore) {
        val (key, record) = dataPlane.dueTrial() ?: return
        control.next().execute { evidence.requestTrial(key, record) }
    }

    private fun sharedList(relay: ReplicaRelay): TextResponse =
        relay.sharedList()?.let { TextResponse(STATUS_OK, it) } ?: TextResponse(STATUS_UNAVAILABLE, "")

    private fun readiness(): TextResponse {
        val state = dataPlane.state
        val now = ProcessClock.read()
        val age = state.age(now)
        val serving = state.configuration != null && state.replicas != null && state.isTrusted(now, dataPlane.bounds)
        val ready = serving && !dataPlane.draining
        if (ready != lastReady) {
            lastReady = ready
            log.log(
                LogEvent.READINESS_CHANGED,
                "ready" to ready,
                "draining" to dataPlane.draining,
                "configurationAgeMillis" to age.takeIf { it.isFinite() }?.inWholeMilliseconds,
            )
        }
        val listAge = state.replicasReadAt?.let { ProcessClock.now() - it }
        reportOverdueList(listAge)
        val detail = "replica list read ${listAge?.inWholeMilliseconds ?: "-"} ms ago\n"
        return if (ready) {
            TextResponse(STATUS_OK, "ready\n$detail")
        } else {
            TextResponse(STATUS_UNAVAILABLE, "not ready\n$detail")
        }
    }

    /** The gateway stays ready on an old list, since it may be as good as that of the others. */
    private fun reportOverdueList(age: Duration?) {
        val overdue = age != null && age > MAX_LIST_AGE
        if (overdue == lastListOverdue) return
        lastListOverdue = overdue
        log.log(LogEvent.REPLICA_LIST_OVERDUE, "overdue" to overdue, "ageMillis" to age?.inWholeMilliseconds)
    }

    /** Applies the bounds of changed settings. Changed addresses take effect at the next start. */
    fun reload(changed: ProcessDescription) {
        dataPlane.bounds = changed.bounds
        log.log(LogEvent.SETTINGS_RELOADED, "revocationMillis" to changed.bounds.revocation.inWholeMilliseconds)
    }

    /** Starts a graceful stop. */
    fun stop() {
        network.next().execute {
            if (dataPlane.draining) return@execute
            if (!::callerListener.isInitialized) return@execute stopped.countDown()
            val now = ProcessClock.now()
            log.log(LogEvent.STOP_REQUESTED, "open" to dataPlane.activeExchanges)
            GracefulStop(
                dataPlane = dataPlane,
                listener = callerListener,
                refuseAt = now + ROTATION_DELAY,
                endBy = now + description.bounds.stopGrace * GRACE_FRACTION,
            ) { cut ->
                log.log(LogEvent.STOPPED, "cut" to cut)
                stopped.countDown()
            }.start()
        }
    }

    private companion object {
        /** Two polls that time out fit into the trusted age of a configuration. */
        val STORE_TIMEOUT: Duration = 1_400.milliseconds

        /** The platform takes an instance out of rotation after two failed readiness checks, one second apart. */
        val ROTATION_DELAY: Duration = 2.8.seconds

        const val TRIAL_CHECK_INTERVAL_MILLIS = 1_000L

        /** Age of the replica list from which on it is reported as overdue. */
        val MAX_LIST_AGE: Duration = 10.seconds

        /** A shared list is at most one interval old, unless its reader has lost the store. */
        const val MAX_LIST_AGE_INTERVALS = 1.3

        /** Fraction of the grace period that is used, to exit before the platform kills the process. */
        const val GRACE_FRACTION = 0.93
        const val MICROS_PER_SECOND = 1e6
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
