/**
 * Faults from outside the programs: signals, relays, the store's condition, spoiled answers, late orders, and changes
 * of the configuration. Several sequences run at once, so that faults overlap and come in series.
 */
package org.jujubelead.bench.soak

import org.jujubelead.bench.prove.ProcessSignal
import org.jujubelead.bench.prove.TcpRelay
import org.jujubelead.platform.standins.StoreCondition
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * A fault from [from] to [to], in nanoseconds.
 *
 * @property gateway the gateway that it hits; null for faults of replicas, agents and the store.
 * @property excusesCuts true when a request that is being served may be cut by it.
 */
internal class FaultRecord(val kind: String, val gateway: Int?, val from: Long, val to: Long, val excusesCuts: Boolean)

internal class SoakFaults(private val deployment: Deployment, seed: Long) {
    val records: MutableList<FaultRecord> = java.util.Collections.synchronizedList(ArrayList())
    private val randoms = List(SEQUENCES) { Random(seed * SEQUENCES + it) }

    /** Nanoseconds at which the revocation and the added route were confirmed; 0 until then. */
    @Volatile
    var revokedAt = 0L
        private set

    @Volatile
    var routeAddedAt = 0L
        private set

    /** Injects faults for [millis], and then ends all of them. */
    fun run(millis: Long) {
        val until = System.nanoTime() + millis * NANOS_PER_MILLI
        val threads = randoms.map { r ->
            thread(isDaemon = true, name = "faults") {
                while (System.nanoTime() < until) {
                    inject(r)
                    Thread.sleep(r.nextLong(MOST_PAUSE_MILLIS))
                }
            }
        }
        threads.forEach { it.join() }
        if (revokedAt == 0L) revoke()
        if (routeAddedAt == 0L) addRoute()
    }

    private enum class Kind {
        GATEWAY_KILLED,
        GATEWAY_SUSPENDED,
        GATEWAY_STOPPED,
        AGENT_KILLED,
        AGENT_SUSPENDED,
        STORE,
        WAY_TO_STORE,
        WAY_TO_REPLICA,
        ANSWERS_SPOILED,
        ORDERS_LATE,
        KEY_REVOKED,
        ROUTE_ADDED,
    }

    private fun inject(random: Random) {
        val gateway = random.nextInt(deployment.gateways.size)
        val agent = deployment.agents[random.nextInt(deployment.agents.size)]
        val millis = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS)
        when (Kind.entries[random.nextInt(Kind.entries.size)]) {
            Kind.GATEWAY_KILLED -> onGateway("killed", gateway, true) { restart(it, ProcessSignal.KILL, millis) }

            Kind.GATEWAY_SUSPENDED -> onGateway("suspended", gateway, true) { suspend(it, millis) }

            Kind.GATEWAY_STOPPED -> onGateway("stopped", gateway, false) { restart(it, ProcessSignal.TERM, 0) }

            Kind.AGENT_KILLED -> everywhere("agent killed") { restart(agent, ProcessSignal.KILL, millis) }

            Kind.AGENT_SUSPENDED -> everywhere("agent suspended") { suspend(agent, millis) }

            Kind.STORE -> store(StoreCondition.entries[random.nextInt(1, StoreCondition.entries.size)], millis)

            Kind.WAY_TO_STORE -> cutWay(
                WayFault("way to the store", gateway, false),
                storeRelay(gateway),
                random,
                millis,
            )

            Kind.WAY_TO_REPLICA -> cutWay(
                WayFault("way to a replica", null, true),
                replicaRelay(random),
                random,
                millis,
            )

            Kind.ANSWERS_SPOILED -> spoil(millis)

            Kind.ORDERS_LATE -> delayOrders(millis)

            Kind.KEY_REVOKED -> if (revokedAt == 0L) everywhere("key revoked", ::revoke)

            Kind.ROUTE_ADDED -> if (routeAddedAt == 0L) everywhere("route added", ::addRoute)
        }
    }

    private fun storeRelay(gateway: Int) = deployment.storeRelays[gateway]

    private fun replicaRelay(random: Random) = deployment.replicaRelays[random.nextInt(deployment.replicaRelays.size)]

    private fun onGateway(what: String, gateway: Int, excusesCuts: Boolean, body: (Instance) -> Unit) =
        record("gateway $what", gateway, excusesCuts) { body(deployment.gateways[gateway]) }

    private fun everywhere(what: String, body: () -> Unit) = record(what, null, excusesCuts = false, body)

    private fun spoil(millis: Long) = record("answers spoiled", null, excusesCuts = true) {
        deployment.spoil(SPOILED_SHARE)
        Thread.sleep(millis)
        deployment.spoil(0.0)
    }

    private fun delayOrders(millis: Long) = everywhere("orders late") {
        deployment.group.lateOrderProbability = LATE_SHARE
        Thread.sleep(millis)
        deployment.group.lateOrderProbability = 0.0
    }

    @Synchronized
    private fun revoke() {
        if (revokedAt != 0L) return
        deployment.configure(extraRoute = routeAddedAt != 0L, revoked = true)
        revokedAt = System.nanoTime()
    }

    @Synchronized
    private fun addRoute() {
        if (routeAddedAt != 0L) return
        deployment.configure(extraRoute = true, revoked = revokedAt != 0L)
        routeAddedAt = System.nanoTime()
    }

    private fun restart(instance: Instance, signal: ProcessSignal, downMillis: Long) = synchronized(instance) {
        instance.process.signal(signal)
        if (signal == ProcessSignal.TERM) instance.process.waitFor(GRACE_MILLIS)
        Thread.sleep(downMillis)
        instance.restart()
    }

    private fun suspend(instance: Instance, millis: Long) = synchronized(instance) {
        instance.process.signal(ProcessSignal.STOP)
        Thread.sleep(millis)
        instance.process.signal(ProcessSignal.CONT)
    }

    private fun store(condition: StoreCondition, millis: Long) =
        everywhere("store ${condition.name.lowercase()}") {
            deployment.store.condition = condition
            Thread.sleep(millis)
            deployment.store.condition = StoreCondition.SERVING
        }

    private class WayFault(val what: String, val gateway: Int?, val excusesCuts: Boolean)

    private fun cutWay(way: WayFault, relay: TcpRelay, random: Random, millis: Long) {
        val hit = { how: String, body: () -> Unit -> record("${way.what} $how", way.gateway, way.excusesCuts, body) }
        when (random.nextInt(WAYS_TO_CUT)) {
            0 -> hit("silenced") { relay.freeze() }

            1 -> hit("reset") { relay.cut() }

            2 -> hit("delayed") {
                relay.delayMs = DELAY_MILLIS
                Thread.sleep(millis)
                relay.delayMs = 0
            }

            else -> hit("refused") {
                relay.refusing = true
                relay.cut()
                Thread.sleep(millis)
                relay.refusing = false
            }
        }
    }

    private fun record(kind: String, gateway: Int?, excusesCuts: Boolean, body: () -> Unit) {
        val from = System.nanoTime()
        body()
        records += FaultRecord(kind, gateway, from, System.nanoTime(), excusesCuts)
    }

    private companion object {
        const val SEQUENCES = 2
        const val WAYS_TO_CUT = 4
        const val MOST_PAUSE_MILLIS = 1_200L
        const val SHORTEST_MILLIS = 300L
        const val LONGEST_MILLIS = 4_000L
        const val GRACE_MILLIS = 8_000L
        const val DELAY_MILLIS = 200L
        const val SPOILED_SHARE = 0.1
        const val LATE_SHARE = 0.4
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
