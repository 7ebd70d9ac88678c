/**
 * Injects faults from outside the processes: signals, network faults, store failures, faulty responses, late orders,
 * and configuration changes. Several sequences run concurrently, so that faults overlap and follow one another.
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
 * @property gateway index of the affected gateway; null for faults of replicas, agents and the store.
 * @property interrupts true if the fault can interrupt in-flight requests.
 */
internal class FaultRecord(val kind: String, val gateway: Int?, val from: Long, val to: Long, val interrupts: Boolean)

internal class SoakFaults(private val deployment: Deployment, seed: Long) {
    val records: MutableList<FaultRecord> = java.util.Collections.synchronizedList(ArrayList())
    private val randoms = List(SEQUENCES) { Random(seed * SEQUENCES + it) }
    private val answerRandom = Random(-seed - 1)
    private val returnRandom = Random(seed.inv() * SEQUENCES)

    /** `System.nanoTime()` at which the store confirmed the revocation (here) or the added route; 0 until then. */
    @Volatile
    var revokedAt = 0L
        private set

    @Volatile
    var routeAddedAt = 0L
        private set

    /** `System.nanoTime()` from which one part of prompts crashes replicas; 0 until then. */
    @Volatile
    private var deadlySince = 0L

    /** Injects faults for [millis] and returns once all of them have ended. */
    fun run(millis: Long) {
        val until = System.nanoTime() + millis * NANOS_PER_MILLI
        val answerKinds = generateSequence { AnswerKind.entries }.flatten().iterator()
        val copies = thread(isDaemon = true, name = "copies", block = ::copyStore)
        val threads = randoms.map { sequence(it, until, ::inject) } +
            sequence(answerRandom, until) { injectIntoAnswers(answerKinds.next(), it) } +
            sequence(returnRandom, until, ::returnStore)
        threads.forEach { it.join() }
        copies.interrupt()
        if (revokedAt == 0L) revoke()
        if (routeAddedAt == 0L) addRoute()
    }

    private fun sequence(random: Random, until: Long, inject: (Random) -> Unit) =
        thread(isDaemon = true, name = "faults") {
            while (System.nanoTime() < until) {
                inject(random)
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
            }
        }

    private enum class Kind {
        GATEWAY_KILLED,
        GATEWAY_SUSPENDED,
        GATEWAY_STOPPED,
        AGENT_KILLED,
        AGENT_SUSPENDED,
        STORE,
        STORE_CONNECTION,
        REPLICA_CONNECTION,
        RESPONSES_CORRUPTED,
        ORDERS_DELAYED,
        PROMPTS_DEADLY,
        KEY_REVOKED,
        ROUTE_ADDED,
    }

    private fun inject(random: Random) {
        val gateway = random.nextInt(deployment.gateways.size)
        val agent = deployment.agents[random.nextInt(deployment.agents.size)]
        val millis = random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)
        when (Kind.entries[random.nextInt(Kind.entries.size)]) {
            Kind.GATEWAY_KILLED -> onGateway("killed", gateway, true) { restart(it, ProcessSignal.KILL, millis) }

            Kind.GATEWAY_SUSPENDED -> onGateway("suspended", gateway, true) { suspend(it, millis) }

            Kind.GATEWAY_STOPPED -> onGateway("stopped", gateway, false) { restart(it, ProcessSignal.TERM, 0) }

            Kind.AGENT_KILLED -> withoutGateway("agent killed") { restart(agent, ProcessSignal.KILL, millis) }

            Kind.AGENT_SUSPENDED -> withoutGateway("agent suspended") { suspend(agent, millis) }

            Kind.STORE -> store(StoreCondition.entries[random.nextInt(1, StoreCondition.entries.size)], millis)

            Kind.STORE_CONNECTION -> breakConnection(
                ConnectionFault("way to the store", gateway, false),
                storeRelay(gateway),
                random,
                millis,
            )

            Kind.REPLICA_CONNECTION -> breakConnection(
                ConnectionFault("way to a replica", null, true),
                replicaRelay(random),
                random,
                millis,
            )

            Kind.RESPONSES_CORRUPTED -> corruptResponses(millis)

            Kind.ORDERS_DELAYED -> delayOrders(millis)

            Kind.PROMPTS_DEADLY -> if (deadlySince == 0L) withoutGateway("prompts deadly", ::makePromptsDeadly)

            Kind.KEY_REVOKED -> if (revokedAt == 0L) withoutGateway("key revoked", ::revoke)

            Kind.ROUTE_ADDED -> if (routeAddedAt == 0L) withoutGateway("route added", ::addRoute)
        }
    }

    private fun copyStore() {
        try {
            while (true) {
                deployment.copyStore()
                Thread.sleep(Deployment.COPY_INTERVAL_MILLIS)
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    /**
     * Takes the store away after a change, and returns it from a copy. What operator and replicas have written is
     * written again before the fault has ended. A sequence of its own, so that returns overlap with all other faults.
     */
    private fun returnStore(random: Random) {
        Thread.sleep(random.nextLong(MAX_TIME_BETWEEN_RETURNS_MILLIS))
        changeVersion()
        Thread.sleep(random.nextLong(MAX_REWRITE_MILLIS))
        withoutGateway("store returned from a copy") {
            deployment.store.condition = if (random.nextBoolean()) StoreCondition.REFUSING else StoreCondition.SILENT
            Thread.sleep(random.nextLong(MIN_FAULT_MILLIS, MAX_OUTAGE_MILLIS))
            deployment.returnStore(random.nextInt(MAX_COPY_AGE_INTERVALS))
            deployment.store.condition = StoreCondition.SERVING
            Thread.sleep(random.nextLong(MAX_REWRITE_MILLIS))
            deployment.writeAgain()
        }
    }

    private enum class AnswerKind { COPIED, UNFRAMED, ENDLESS }

    /**
     * A sequence of its own, so that these faults overlap with all others. They excuse no request that is cut: the
     * replicas record which of their answers they broke off.
     */
    private fun injectIntoAnswers(kind: AnswerKind, random: Random) {
        val faults = deployment.answerFaults
        val millis = random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)
        when (kind) {
            AnswerKind.ENDLESS -> withoutGateway("answers endless") {
                faults.endless = ENDLESS_PROBABILITY
                Thread.sleep(millis)
                faults.endless = 0.0
            }

            AnswerKind.COPIED -> withoutGateway("answers copied") {
                faults.copied = COPY_PROBABILITY
                faults.failed = FAILURE_PROBABILITY
                Thread.sleep(millis)
                faults.copied = 0.0
                faults.failed = 0.0
            }

            AnswerKind.UNFRAMED -> withoutGateway("answers without length") {
                faults.unframed = UNFRAMED_PROBABILITY
                faults.early = EARLY_PROBABILITY
                Thread.sleep(millis)
                faults.unframed = 0.0
                faults.early = 0.0
            }
        }
    }

    private fun storeRelay(gateway: Int) = deployment.storeRelays[gateway]

    private fun replicaRelay(random: Random) = deployment.replicaRelays[random.nextInt(deployment.replicaRelays.size)]

    private fun onGateway(what: String, gateway: Int, interrupts: Boolean, body: (Instance) -> Unit) =
        record("gateway $what", gateway, interrupts) { body(deployment.gateways[gateway]) }

    private fun withoutGateway(what: String, body: () -> Unit) = record(what, null, interrupts = false, body)

    private fun corruptResponses(millis: Long) = record("answers spoiled", null, interrupts = true) {
        deployment.answerFaults.spoiled = FAULT_PROBABILITY
        Thread.sleep(millis)
        deployment.answerFaults.spoiled = 0.0
    }

    private fun delayOrders(millis: Long) = withoutGateway("orders late") {
        deployment.groups.forEach { it.lateOrderProbability = LATE_ORDER_PROBABILITY }
        Thread.sleep(millis)
        deployment.groups.forEach { it.lateOrderProbability = 0.0 }
    }

    /** Lasts until the end of the run, so that a prompt part that was forgotten crashes replicas again. */
    private fun makePromptsDeadly() {
        deadlySince = System.nanoTime()
        deployment.setDeadlyPart(Deployment.DEADLY_PART)
    }

    @Synchronized
    private fun revoke() {
        if (revokedAt != 0L) return
        deployment.configure(extraRoute = routeAddedAt != 0L, revoked = true)
        revokedAt = System.nanoTime()
    }

    /** Writes the present configuration in a new version. */
    @Synchronized
    private fun changeVersion() = deployment.configure(extraRoute = routeAddedAt != 0L, revoked = revokedAt != 0L)

    @Synchronized
    private fun addRoute() {
        if (routeAddedAt != 0L) return
        deployment.configure(extraRoute = true, revoked = revokedAt != 0L)
        routeAddedAt = System.nanoTime()
    }

    private fun restart(instance: Instance, signal: ProcessSignal, downMillis: Long) = synchronized(instance) {
        instance.process.signal(signal)
        if (signal == ProcessSignal.TERM) instance.process.waitFor(STOP_TIMEOUT_MILLIS)
        Thread.sleep(downMillis)
        instance.restart()
    }

    private fun suspend(instance: Instance, millis: Long) = synchronized(instance) {
        instance.process.signal(ProcessSignal.STOP)
        Thread.sleep(millis)
        instance.process.signal(ProcessSignal.CONT)
    }

    private fun store(condition: StoreCondition, millis: Long) =
        withoutGateway("store ${condition.name.lowercase()}") {
            deployment.store.condition = condition
            Thread.sleep(millis)
            deployment.store.condition = StoreCondition.SERVING
        }

    private class ConnectionFault(val what: String, val gateway: Int?, val interrupts: Boolean)

    private fun breakConnection(spec: ConnectionFault, relay: TcpRelay, random: Random, millis: Long) {
        val run = { how: String, body: () -> Unit -> record("${spec.what} $how", spec.gateway, spec.interrupts, body) }
        when (random.nextInt(CONNECTION_FAULT_KINDS)) {
            0 -> run("silenced") { relay.freeze() }

            1 -> run("reset") { relay.reset() }

            2 -> run("delayed") {
                relay.delayMs = DELAY_MILLIS
                Thread.sleep(millis)
                relay.delayMs = 0
            }

            else -> run("refused") {
                relay.refusing = true
                relay.reset()
                Thread.sleep(millis)
                relay.refusing = false
            }
        }
    }

    private fun record(kind: String, gateway: Int?, interrupts: Boolean, body: () -> Unit) {
        val from = System.nanoTime()
        body()
        records += FaultRecord(kind, gateway, from, System.nanoTime(), interrupts)
    }

    private companion object {
        const val SEQUENCES = 2
        const val CONNECTION_FAULT_KINDS = 4
        const val MAX_PAUSE_MILLIS = 1_200L
        const val MIN_FAULT_MILLIS = 300L
        const val MAX_FAULT_MILLIS = 4_000L
        const val MAX_OUTAGE_MILLIS = 2_000L
        const val MAX_REWRITE_MILLIS = 2_000L
        const val MAX_COPY_AGE_INTERVALS = 36
        const val MAX_TIME_BETWEEN_RETURNS_MILLIS = 6_000L
        const val STOP_TIMEOUT_MILLIS = 8_000L
        const val DELAY_MILLIS = 200L
        const val FAULT_PROBABILITY = 0.1
        const val COPY_PROBABILITY = 0.3
        const val FAILURE_PROBABILITY = 0.3
        const val UNFRAMED_PROBABILITY = 0.5
        const val ENDLESS_PROBABILITY = 0.2
        const val EARLY_PROBABILITY = 0.8
        const val LATE_ORDER_PROBABILITY = 0.4
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
