/**
 * State shared by all exchanges of an instance: the control state, service queues, connection pools and retry budgets.
 *
 * Confined to the data plane's event loop, except for [state] and [bounds].
 */
package org.jujubelead.gateway.caller

import io.netty.channel.EventLoop
import org.jujubelead.core.dispatch.AttemptOutcome
import org.jujubelead.core.dispatch.Placement
import org.jujubelead.core.dispatch.ServiceQueue
import org.jujubelead.core.dispatch.Ticket
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.limit.ReplicaLimits
import org.jujubelead.core.quarantine.PartKey
import org.jujubelead.core.quarantine.PartRecord
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.replica.LeavingReplicas
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.retry.WindowedRetryBudget
import org.jujubelead.core.route.CallerLimits
import org.jujubelead.gateway.net.ByteBudget
import org.jujubelead.gateway.net.ConnectionPool
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.peers.LoadReport
import org.jujubelead.gateway.peers.SlowRankTracker
import org.jujubelead.gateway.quarantine.QuarantineGate
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.jujubelead.gateway.settings.DeploymentBounds
import org.jujubelead.gateway.store.ControlState
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.GatewayMetrics
import org.jujubelead.gateway.telemetry.LogEvent
import java.util.IdentityHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class DataPlane(
    val loop: EventLoop,
    val log: EventLog,
    val metrics: GatewayMetrics,
    @Volatile var bounds: DeploymentBounds,
    private val zone: ZoneId,
    own: Endpoint,
    private val random: Random = Random.Default,
) {
    /** Written by the control-plane event loop. */
    @Volatile
    var state: ControlState = ControlState()

    /** True once a stop has been requested; connections are closed after their current response. */
    var draining: Boolean = false

    /** True when new requests are refused, shortly before the process exits. */
    var closed: Boolean = false

    val connections: MutableSet<CallerConnection> = HashSet()
    var activeExchanges: Int = 0

    val responseMemory: ByteBudget = ByteBudget(MAX_RESPONSE_MEMORY)

    private val queues = HashMap<ServiceId, ServiceQueue>()
    private val pools = HashMap<ReplicaId, ConnectionPool>()
    private val retryBudgets = HashMap<ServiceId, WindowedRetryBudget>()
    private val queuedExchanges = IdentityHashMap<Ticket, Exchange>()
    private var knownReplicas: List<Replica> = emptyList()
    private val leaving = LeavingReplicas()

    /** Ranks that their group coordinators report as slow. */
    val slowRanks: SlowRankTracker = SlowRankTracker(log) {
        queues.values.forEach(::applySlowRanks)
        dispatchAll()
        connections.toList().forEach { it.onSlowRanksChanged() }
    }

    /** Request limits that replicas name. */
    val replicaLimits: ReplicaLimits = ReplicaLimits(own)
    val limitTracker: LimitTracker = LimitTracker(log, replicaLimits)

    /** Keeps prompts that crash replicas from them. */
    val prompts: QuarantineGate =
        QuarantineGate(loop, log) { connections.toList().forEach { it.onQuarantineChanged() } }

    /** Part of a prompt whose trial is due, and its record if this instance makes the trial. */
    fun dueTrial(): Pair<PartKey, PartRecord>? = prompts.dueTrial { service ->
        val arrivals = retryBudget(service).requestsInWindow(ProcessClock.now())
        (arrivals * (MAX_CRASH_OUTAGE / bounds.retryWindow)).toInt()
    }

    val callerLimits: CallerLimits get() = state.configuration?.limits ?: INITIAL_LIMITS

    /** Starts the periodic tasks. */
    fun start() {
        loop.scheduleRepeating(DISPATCH_INTERVAL_MILLIS, "settle", ::dispatchAll)
        loop.scheduleRepeating(IDLE_CHECK_INTERVAL_MILLIS, "sweep", ::closeExpiredConnections)
    }

    /** Updates queues and connection pools from the replicas in [state]. */
    fun replicasChanged() {
        val replicas = state.replicas ?: return
        if (replicas === knownReplicas) return
        val byService = replicas.groupBy { it.service }
        (queues.keys + byService.keys).toSet().forEach {
            queue(it).updateReplicas(byService[it].orEmpty())
            applySlowRanks(queue(it))
        }
        val ids = replicas.associateBy { it.id }
        pools.entries.removeIf { (id, pool) ->
            val endpointChanged = ids[id]?.endpoint != pool.endpoint
            if (endpointChanged) pool.close()
            endpointChanged
        }
        knownReplicas = replicas
        dispatchAll()
    }

    /** Number of known gateways, including this one. */
    var gatewayCount: Int = 1
        set(value) {
            field = value
            queues.values.forEach { it.instances = value }
        }

    fun queue(service: ServiceId): ServiceQueue = queues.getOrPut(service) {
        ServiceQueue(ownZone = zone, random = random, limits = replicaLimits, leaving = leaving)
            .apply { instances = gatewayCount }
    }

    /** Records the gap between two events of a stream of [service]. */
    fun recordEventGap(service: ServiceId, gap: Duration, maxGap: Duration) {
        val engine = state.configuration?.services?.get(service)?.engine
        val queue = queue(service)
        queue.fixedEventGap = engine?.fixedPassTime ?: Duration.ZERO
        queue.recordEventGap(gap, maxGap, ProcessClock.now())
    }

    private fun applySlowRanks(queue: ServiceQueue) = queue.updateSlowdowns { slowRanks.relativeStepTime(it.endpoint) }

    fun pool(replica: Replica): ConnectionPool =
        pools.getOrPut(replica.id) { ConnectionPool(replica.endpoint, loop, CONNECT_TIMEOUT) }

    /** False once [replica] was removed or leaves, which can happen while a connection is being opened. */
    fun isUsable(replica: Replica): Boolean =
        replica !in leaving && knownReplicas.any { it.incarnation == replica.incarnation }

    /** Sends nothing new to [replica], which has said that it leaves. */
    fun onReplicaLeaving(replica: Replica) {
        if (!leaving.add(replica.incarnation)) return
        val queue = queue(replica.service)
        queue.removeLeaving()
        log.log(
            LogEvent.REPLICA_LEAVING,
            "service" to replica.service,
            "replica" to replica.id,
            "startedAtMillis" to replica.startedAtMillis,
            "left" to queue.replicaLoads.size,
        )
        loop.execute { dispatch(queue) }
    }

    fun retryBudget(service: ServiceId): WindowedRetryBudget = retryBudgets.getOrPut(service) {
        WindowedRetryBudget(
            window = bounds.retryWindow,
            ratio = bounds.retryRatio * INSTANCE_RATIO_FRACTION,
            slack = { retrySlackOf(gatewayCount, bounds.retrySlack) },
        )
    }

    /** In-flight requests of this instance, by the hash of the replica in load reports. */
    fun inFlightByReplica(): Map<Int, Int> = buildMap {
        for (queue in queues.values) {
            for (load in queue.replicaLoads) if (load.inFlight > 0) put(LoadReport.hash(load.replica.id), load.inFlight)
        }
    }

    /** Limits that this instance has heard from replicas, by the hash of the replica in limit reports. */
    fun limitsToReport(): Map<Int, Double> = replicaLimits.reportedLimits(knownReplicas, ProcessClock.now())

    /** Updates the in-flight requests of other instances, by the hash of the replica. */
    fun onPeerLoads(counts: Map<Int, Int>) {
        queues.values.forEach { queue -> queue.updateInFlightElsewhere { counts[LoadReport.hash(it)] ?: 0 } }
        dispatchAll()
    }

    /** Requests a replica for [exchange]. A queued exchange is notified later through its onPlacement. */
    fun submit(exchange: Exchange, service: ServiceId, ticket: Ticket): Placement {
        val placement = queue(service).submit(ticket, ProcessClock.now())
        if (placement is Placement.Queued) queuedExchanges[ticket] = exchange
        return placement
    }

    fun withdraw(service: ServiceId, ticket: Ticket) {
        queue(service).withdraw(ticket)
        queuedExchanges.remove(ticket)
    }

    fun onAttemptEnded(service: ServiceId, replica: ReplicaId, outcome: AttemptOutcome, elapsed: Duration) {
        queue(service).attemptEnded(replica, outcome, elapsed, ProcessClock.now())
        loop.execute { dispatch(queue(service)) }
    }

    private fun dispatchAll() = queues.values.forEach(::dispatch)

    private fun dispatch(queue: ServiceQueue) {
        for (s in queue.resolveQueued(ProcessClock.now())) queuedExchanges.remove(s.ticket)?.onPlacement(s.placement)
    }

    private fun closeExpiredConnections() {
        val now = ProcessClock.now()
        connections.toList().forEach { it.checkTimeouts(now) }
        limitTracker.expire(knownReplicas)
        pools.values.forEach { it.closeIdle(MAX_POOL_IDLE) }
    }

    private companion object {
        /** A quarter of the heap; buffers grow by doubling, which takes as much again for a moment. */
        const val MAX_RESPONSE_MEMORY = 24L * 1024 * 1024

        /** Limits until the first configuration has been read; no request is served before that. */
        val INITIAL_LIMITS = CallerLimits(
            maxHeaderBytes = 16_384,
            maxBodyBytes = 1_048_576,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )

        /** Tolerates one lost packet during connection set-up, which costs a second, but not two. */
        val CONNECT_TIMEOUT: Duration = 1_200.milliseconds

        /** Pooled connections that are idle for longer are closed. */
        val MAX_POOL_IDLE: Duration = 20.seconds

        /**
         * Fraction of the deployment's retry ratio that an instance uses. The rest covers retries that cross a window
         * boundary.
         */
        const val INSTANCE_RATIO_FRACTION = 0.6

        /** A group of ranks is available again about this long after one of them has crashed. */
        val MAX_CRASH_OUTAGE: Duration = 5.seconds

        const val DISPATCH_INTERVAL_MILLIS = 50L
        const val IDLE_CHECK_INTERVAL_MILLIS = 500L
    }
}

/**
 * Share of one gateway in the retries of a window beyond the ratio. [known] gateways lag behind the real ones while
 * instances are added, and a gateway that has just started knows only itself.
 */
internal fun retrySlackOf(known: Int, slack: Double): Double = slack / maxOf(MIN_SLACK_SHARES, known * SLACK_MARGIN)

/** Shares while few gateways are known; the unused part of the ratio covers more gateways that start together. */
private const val MIN_SLACK_SHARES = 20.0

/** Covers gateways that are added within one window. */
private const val SLACK_MARGIN = 1.5
