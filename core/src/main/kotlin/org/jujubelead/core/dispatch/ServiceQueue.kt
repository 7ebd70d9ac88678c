/**
 * Assigns, queues and refuses the requests of one service on one instance.
 *
 * A replica receives no more requests than it can process at once. Further requests wait in this queue, where they can
 * still be reordered, and where a request that is refused has certainly not run. Queued requests are ordered by whether
 * they can still meet their objective, then by priority, then by their latest start. Near or above capacity, requests
 * that have missed their objective therefore do not delay those that can still meet it, and a request that would not
 * start in time to be useful is refused on arrival.
 *
 * A slow rank of a group gets no requests while other ranks have normal speed: all ranks wait for it in every pass, and
 * its own requests are the only load that can be taken off it.
 *
 * While all replicas fail together, as the ranks of a broken group do, only probes are assigned. Callers that are
 * expected to retry later are refused at once. Some of those that have already retried, and would otherwise fail, wait
 * for the end of the outage as long as an answer would still reach them.
 *
 * Not thread-safe; used on the traffic thread only.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.limit.ReplicaLimits
import org.jujubelead.core.replica.LeavingReplicas
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request that waits for a replica.
 *
 * @property latestOnTimeStart latest start with which the request can still meet its objective.
 * @property latestUsefulStart latest start with which the caller still gets a complete answer.
 * @property excluded replicas that the request has already been sent to.
 * @property retryUnlikely true if the caller is unlikely to retry after a refusal.
 * @property continuesStream true if the caller already receives the stream, which waits for another replica.
 */
public class Ticket(
    public val priority: Int,
    public val latestOnTimeStart: Timestamp,
    public val latestUsefulStart: Timestamp,
    public val excluded: Set<ReplicaId> = emptySet(),
    public val retryUnlikely: Boolean = false,
    public val continuesStream: Boolean = false,
)

/** Outcome of a ticket. */
public sealed interface Placement {
    public data class Assigned(val replica: Replica) : Placement

    public data object Queued : Placement

    /** The request has not run. The caller should retry after [retryAfter]. */
    public data class Refused(val retryAfter: Duration, val reason: RefusalReason) : Placement
}

public enum class RefusalReason { NO_REPLICA, OVERLOADED, OUTAGE }

/** A queued ticket and its outcome. */
public class ResolvedTicket(public val ticket: Ticket, public val placement: Placement)

/**
 * @param ownZone zone whose replicas are preferred.
 * @param limits request limits of replicas; null if there are none.
 * @param leaving replicas that get no new requests although they are listed.
 * @param requestsPerSlot number of requests that a replica may be assigned for each of its slots.
 * @param random chooses among equally loaded replicas. Instances that see the same loads would otherwise all choose the
 * same replica, which then rejects most of their requests.
 */
public class ServiceQueue(
    private val ownZone: ZoneId,
    private val requestsPerSlot: Double = 1.0,
    private val random: Random = Random.Default,
    private val limits: ReplicaLimits? = null,
    private val leaving: LeavingReplicas = LeavingReplicas(),
) {
    private var listed: List<Replica> = emptyList()

    /** Loads of the listed replicas that do not leave. */
    private val loads = LinkedHashMap<ReplicaId, ReplicaLoad>()
    private val waiting = ArrayList<Ticket>()
    private var meanAttemptTime: Duration = INITIAL_ATTEMPT_TIME

    /** Number of instances that send requests to the replicas, including this one. */
    public var instances: Int = 1
    private val circuitBreaker = ServiceCircuitBreaker()
    private val concurrencyLimit = StreamConcurrencyLimit()

    /** Part of the gap between two events that does not depend on the load of the replicas. */
    public var fixedEventGap: Duration = Duration.ZERO

    public val waitingCount: Int get() = waiting.size
    public val replicaLoads: Collection<ReplicaLoad> get() = loads.values

    /** Replaces the listed replicas. Keeps the load of replicas that remain in the list and have not restarted. */
    public fun updateReplicas(replicas: List<Replica>) {
        listed = replicas
        val staying = replicas.filterNot { it in leaving }
        val ids = staying.mapTo(HashSet()) { it.id }
        loads.keys.retainAll(ids)
        for (r in staying) {
            val known = loads[r.id]
            if (known == null || known.replica.startedAtMillis != r.startedAtMillis) {
                loads[r.id] = ReplicaLoad(r)
            } else {
                known.replica = r
            }
        }
    }

    /** Stops using the replicas that have been added to those that leave. */
    public fun removeLeaving(): Unit = updateReplicas(listed)

    /** Sets the number of in-flight requests that other instances have on each replica. */
    public fun updateInFlightElsewhere(count: (ReplicaId) -> Int) {
        loads.values.forEach { it.inFlightElsewhere = count(it.replica.id) }
    }

    /** Sets the slowdown of each replica; 1 means normal speed. */
    public fun updateSlowdowns(slowdown: (Replica) -> Double) {
        loads.values.forEach { it.slowdown = slowdown(it.replica) }
    }

    /** Assigns, queues or refuses [ticket]. The outcome of a queued ticket is returned by [resolveQueued]. */
    public fun submit(ticket: Ticket, now: Timestamp): Placement {
        if (noneLeftFor(ticket)) {
            return Placement.Refused(NO_REPLICA_RETRY_DELAY, RefusalReason.NO_REPLICA)
        }
        if (!circuitBreaker.allowsRequest(now)) {
            val mayQueue = ticket.retryUnlikely && now < ticket.latestUsefulStart && waiting.size < maxQueuedInOutage
            if (!mayQueue) return Placement.Refused(MAX_RETRY_DELAY, RefusalReason.OUTAGE)
            waiting += ticket
            return Placement.Queued
        }
        if (waiting.none { serviceOrder(now).compare(it, ticket) <= 0 }) assign(ticket, now)?.let { return it }
        val wait = expectedWait(ticket, now)
        if (now + wait > ticket.latestUsefulStart) {
            return Placement.Refused(
                retryAfter = wait.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
                RefusalReason.OVERLOADED,
            )
        }
        waiting += ticket
        return Placement.Queued
    }

    /**
     * True if a stream should be moved away from [replica], because the replica is so slow that its whole group waits
     * for it and another replica that is not in [excluded] has free capacity. On a very slow replica no stream of the
     * group would finish in time, so moving the stream is worthwhile even if it has to wait for capacity.
     */
    public fun shouldMoveStream(replica: ReplicaId, excluded: Set<ReplicaId>, now: Timestamp): Boolean {
        val slowdown = loads[replica]?.slowdown ?: return false
        val others = loads.values.filter { !it.slow && it.replica.id !in excluded && !it.isAvoided(now) }
        return when {
            slowdown < MOVE_SLOWDOWN -> false
            slowdown < MOVE_AND_WAIT_SLOWDOWN -> waiting.isEmpty() && others.any { freeCapacity(it) > 0 }
            else -> others.isNotEmpty()
        }
    }

    /** Releases the capacity of an attempt that ended after [duration]. */
    public fun attemptEnded(replica: ReplicaId, outcome: AttemptOutcome, duration: Duration, now: Timestamp) {
        loads[replica]?.attemptEnded(outcome, now)
        circuitBreaker.attemptEnded(outcome, now)
        if (outcome == AttemptOutcome.ANSWERED) {
            meanAttemptTime = meanAttemptTime * (1 - ATTEMPT_TIME_WEIGHT) + duration * ATTEMPT_TIME_WEIGHT
        }
    }

    /** Records the [gap] between two events that a replica sent; [maxGap] is the objective of the stream. */
    public fun recordEventGap(gap: Duration, maxGap: Duration, now: Timestamp) {
        val utilization = totalInFlight.toDouble() / totalSlots.coerceAtLeast(1)
        concurrencyLimit.recordGap(gap, maxGap, fixedEventGap, utilization, now)
    }

    /** Called when a replica has started to answer. */
    public fun responseStarted(): Unit = circuitBreaker.responseStarted()

    /** Removes a ticket whose caller no longer waits. */
    public fun withdraw(ticket: Ticket) {
        waiting.remove(ticket)
    }

    /** Assigns queued tickets while there is capacity, and refuses those that can no longer start in time. */
    public fun resolveQueued(now: Timestamp): List<ResolvedTicket> {
        if (waiting.isEmpty()) return emptyList()
        val resolved = ArrayList<ResolvedTicket>()
        waiting.sortWith(serviceOrder(now))
        val iterator = waiting.iterator()
        while (iterator.hasNext()) {
            val t = iterator.next()
            val placement = when {
                now > t.latestUsefulStart -> Placement.Refused(MIN_RETRY_DELAY, RefusalReason.OVERLOADED)
                someLeave && noneLeftFor(t) -> Placement.Refused(NO_REPLICA_RETRY_DELAY, RefusalReason.NO_REPLICA)
                !circuitBreaker.allowsRequest(now) && t.retryUnlikely -> continue
                !circuitBreaker.allowsRequest(now) -> Placement.Refused(MAX_RETRY_DELAY, RefusalReason.OUTAGE)
                else -> assign(t, now) ?: continue
            }
            iterator.remove()
            resolved += ResolvedTicket(t, placement)
        }
        return resolved
    }

    private fun assign(ticket: Ticket, now: Timestamp): Placement.Assigned? {
        if (!ticket.continuesStream && totalInFlight >= concurrencyLimit.fraction * totalSlots) return null
        val candidates = loads.values.filter {
            it.replica.id !in ticket.excluded && freeCapacity(it) > 0 && limits?.allows(it.replica, now) != false
        }
        val healthy = candidates.filterNot { it.isAvoided(now) }
        val usable = healthy.ifEmpty { if (loads.values.all { it.isAvoided(now) }) candidates else return null }
        if (usable.isEmpty()) return null
        val costs = usable.associateWith { cost(it) }
        val lowest = costs.values.min()
        val best = usable.filter { costs[it] == lowest }.random(random)
        best.inFlight++
        limits?.requestSent(best.replica, now)
        circuitBreaker.requestAssigned(now)
        return Placement.Assigned(best.replica)
    }

    private fun noneLeftFor(ticket: Ticket): Boolean = loads.keys.all { it in ticket.excluded }

    /** A replica that is missing from the list may return; one that leaves does not. */
    private val someLeave: Boolean get() = loads.size < listed.size

    private fun capacity(load: ReplicaLoad): Int =
        if (load.slow && !allSlow) 0 else (load.replica.slots * requestsPerSlot).toInt().coerceAtLeast(1)

    private val allSlow: Boolean get() = loads.values.all { it.slow }

    private fun freeCapacity(load: ReplicaLoad): Int = capacity(load) - load.inFlight - load.inFlightElsewhere

    private fun cost(load: ReplicaLoad): Double {
        val utilization = (load.inFlight + load.inFlightElsewhere + 1).toDouble() / capacity(load)
        return if (load.replica.zone == ownZone) utilization else utilization + REMOTE_ZONE_PENALTY
    }

    /** More queued requests would, after the outage, delay new requests that can still meet their objective. */
    private val maxQueuedInOutage: Int get() = (totalCapacity * OUTAGE_QUEUE_FRACTION / instances).toInt()

    private val totalSlots: Int get() = loads.values.sumOf { capacity(it) }

    private val totalInFlight: Int get() = loads.values.sumOf { it.inFlight + it.inFlightElsewhere }

    private val totalCapacity: Int get() = loads.values.sumOf { (capacity(it) - it.inFlightElsewhere).coerceAtLeast(0) }

    private fun expectedWait(ticket: Ticket, now: Timestamp): Duration {
        val order = serviceOrder(now)
        val ahead = waiting.count { order.compare(it, ticket) <= 0 } + 1
        return meanAttemptTime * (ahead / totalCapacity(now).coerceAtLeast(1.0))
    }

    /** Requests that can run at the same time, including those that a limit allows to be started and run meanwhile. */
    private fun totalCapacity(now: Timestamp): Double = loads.values.sumOf { load ->
        val free = (capacity(load) - load.inFlightElsewhere).coerceAtLeast(0).toDouble()
        val limit = limits?.limitOf(load.replica, now)
        if (limit == null) free else minOf(free, limit * (meanAttemptTime / 1.seconds))
    }

    private companion object {
        /** Tickets that can meet their objective come first, then by priority, then by latest start. */
        fun serviceOrder(now: Timestamp): Comparator<Ticket> =
            compareBy({ it.latestOnTimeStart < now }, { it.priority }, { it.latestOnTimeStart.micros })

        /** Processing a moved stream again costs its group one or two passes; above this, staying costs more. */
        const val MOVE_SLOWDOWN = 2.0

        /** Above this, the fixed part of a pass alone takes several times the longest gap that counts as on time. */
        const val MOVE_AND_WAIT_SLOWDOWN = 4.0

        /** Fraction of the total capacity that requests queued during an outage may take. */
        const val OUTAGE_QUEUE_FRACTION = 1.0 / 3

        /** Initial estimate until attempts have ended: about the duration of a short model answer. */
        val INITIAL_ATTEMPT_TIME: Duration = 1.seconds

        /** Weight of the latest attempt in the moving average. */
        const val ATTEMPT_TIME_WEIGHT = 0.05

        /** A request goes to another zone if the utilization of its own zone is higher by more than this. */
        const val REMOTE_ZONE_PENALTY = 0.35
        val NO_REPLICA_RETRY_DELAY: Duration = 400.milliseconds
        val MIN_RETRY_DELAY: Duration = 100.milliseconds

        /** Callers cap the delay at a third of their remaining time; a longer one would only use up that time. */
        val MAX_RETRY_DELAY: Duration = 2_500.milliseconds
    }
}
