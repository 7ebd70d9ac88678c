/**
 * Faults from outside the programs: signals, relays, the store's condition, spoiled answers, late orders, and changes of
 * the configuration. Several sequences run at once, so that faults overlap and come in series.
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

    private fun inject(random: Random) {
        val gateway = random.nextInt(deployment.gateways.size)
        val target = deployment.gateways[gateway]
        val agent = deployment.agents[random.nextInt(deployment.agents.size)]
        val millis = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS)
        when (random.nextInt(KINDS)) {
            0 -> record("gateway killed", gateway, excusesCuts = true) { restart(target, ProcessSignal.KILL, millis) }

            1 -> record("gateway suspended", gateway, excusesCuts = true) { suspend(target, millis) }

            2, 3 -> record("gateway stopped", gateway, excusesCuts = false) { restart(target, ProcessSignal.TERM, 0) }

            4 -> record("agent killed", null, excusesCuts = false) { restart(agent, ProcessSignal.KILL, millis) }

            5, 6 -> record("agent suspended", null, excusesCuts = false) { suspend(agent, millis) }

            7 -> store(StoreCondition.entries[random.nextInt(1, StoreCondition.entries.size)], millis)

            8 -> relay("way to the store", gateway, deployment.storeRelays[gateway], random, millis, excusesCuts = false)

            9 -> {
                val relay = deployment.replicaRelays[random.nextInt(deployment.replicaRelays.size)]
                relay("way to a replica", null, relay, random, millis, excusesCuts = true)
            }

            10 -> record("answers spoiled", null, excusesCuts = true) {
                deployment.spoil(SPOILED_SHARE)
                Thread.sleep(millis)
                deployment.spoil(0.0)
            }

            11 -> record("orders late", null, excusesCuts = false) {
                deployment.group.lateShare = LATE_SHARE
                Thread.sleep(millis)
                deployment.group.lateShare = 0.0
            }

            12 -> if (revokedAt == 0L) record("key revoked", null, excusesCuts = false, ::revoke)

            else -> if (routeAddedAt == 0L) record("route added", null, excusesCuts = false, ::addRoute)
        }
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
        record("store ${condition.name.lowercase()}", null, excusesCuts = false) {
            deployment.store.condition = condition
            Thread.sleep(millis)
            deployment.store.condition = StoreCondition.SERVING
        }

    private fun relay(what: String, gateway: Int?, relay: TcpRelay, random: Random, millis: Long, excusesCuts: Boolean) {
        when (random.nextInt(RELAY_KINDS)) {
            0 -> record("$what silenced", gateway, excusesCuts) { relay.freeze() }

            1 -> record("$what reset", gateway, excusesCuts) { relay.cut() }

            2 -> record("$what delayed", gateway, excusesCuts) {
                relay.delayMs = DELAY_MILLIS
                Thread.sleep(millis)
                relay.delayMs = 0
            }

            else -> record("$what refused", gateway, excusesCuts) {
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
        const val KINDS = 14
        const val RELAY_KINDS = 4
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
