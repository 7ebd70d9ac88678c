/**
 * Places, queues and refuses the requests of one service at one instance.
 *
 * A replica gets no more requests than it runs at once, so that waiting happens here, where the order can still change
 * and a refusal is still true. Waiting requests are served by whether they can still be on time, then by priority, then
 * by the time by which they must start. The load this answers is a service near or over its capacity: requests that
 * can no longer be on time do not hold up those that can, and a request that would not start before its deadline is
 * refused when it arrives instead of waiting in vain. A slow rank of a group gets no requests while other ranks are
 * sound: all ranks wait for it in every pass, and what it works on itself is the part that can be kept from it. While
 * all replicas fail together, as the ranks of a broken group do, only probes are placed; callers who can come back
 * later are refused at once, and some of those who have come back already and would be lost wait for the end of the
 * outage, as long as an answer would still reach them. Mutable; owned by the traffic thread.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request that wants a replica.
 *
 * @property latestOnTimeStart latest start with which it can still be on time.
 * @property latestUsefulStart latest start with which the caller still gets a whole answer.
 * @property excluded replicas that it has been sent to already.
 * @property retryUnlikely true when the caller is not likely to come back after a refusal.
 */
public class Ticket(
    public val priority: Int,
    public val latestOnTimeStart: Timestamp,
    public val latestUsefulStart: Timestamp,
    public val excluded: Set<ReplicaId> = emptySet(),
    public val retryUnlikely: Boolean = false,
)

/** What becomes of a ticket. */
public sealed interface Placement {
    public data class Assigned(val replica: Replica) : Placement

    public data object Queued : Placement

    /** Not run. The caller had best come back [after] this time. */
    public data class Refused(val retryAfter: Duration, val reason: RefusalReason) : Placement
}

public enum class RefusalReason { NO_REPLICA, OVERLOADED, OUTAGE }

/** A ticket that got its placement after it had waited. */
public class ResolvedTicket(public val ticket: Ticket, public val placement: Placement)

/**
 * @param ownZone replicas of this zone are preferred.
 * @param requestsPerSlot requests that a replica is given for each of its slots.
 */
public class ServiceQueue(private val ownZone: ZoneId, private val requestsPerSlot: Double = 1.0) {
    private val loads = LinkedHashMap<ReplicaId, ReplicaLoad>()
    private val waiting = ArrayList<Ticket>()
    private var meanAttemptTime: Duration = INITIAL_ATTEMPT_TIME

    /** Instances that place requests on the replicas, this one included. */
    public var instances: Int = 1
    private val circuitBreaker = ServiceCircuitBreaker()

    public val waitingCount: Int get() = waiting.size
    public val replicaLoads: Collection<ReplicaLoad> get() = loads.values

    /** Replaces the usable replicas. Loads of those that stay are kept. */
    public fun updateReplicas(replicas: List<Replica>) {
        val ids = replicas.mapTo(HashSet()) { it.id }
        loads.keys.retainAll(ids)
        for (r in replicas) {
            val known = loads[r.id]
            if (known == null ||
                known.replica.startedAtMillis != r.startedAtMillis
            ) {
                loads[r.id] = ReplicaLoad(r)
            } else {
                known.replica = r
            }
        }
    }

    /** Sets the requests that other instances have at each replica. */
    public fun updateInFlightElsewhere(count: (ReplicaId) -> Int) {
        loads.values.forEach { it.inFlightElsewhere = count(it.replica.id) }
    }

    /** Sets how slow each replica is; 1 for a sound one. */
    public fun updateSlowdowns(slowdown: (Replica) -> Double) {
        loads.values.forEach { it.slowdown = slowdown(it.replica) }
    }

    /** Asks for a replica. A queued ticket comes back from [resolveQueued]. */
    public fun submit(ticket: Ticket, now: Timestamp): Placement {
        if (loads.keys.all {
                it in ticket.excluded
            }
        ) {
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
     * True when a stream is better moved away from [replica]: its work is so slow that the whole group waits for it,
     * and a sound replica outside [excluded] has a place at once. With a very slow one no stream of the group would end
     * in time, so that the move is worth the wait for a place.
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

    /** Gives the place of an ended attempt back. [duration] is how long the attempt took. */
    public fun attemptEnded(replica: ReplicaId, outcome: AttemptOutcome, duration: Duration, now: Timestamp) {
        loads[replica]?.attemptEnded(outcome, now)
        circuitBreaker.attemptEnded(outcome, now)
        if (outcome ==
            AttemptOutcome.ANSWERED
        ) {
            meanAttemptTime =
                meanAttemptTime * (1 - ATTEMPT_TIME_WEIGHT) + duration * ATTEMPT_TIME_WEIGHT
        }
    }

    /** A replica has begun to answer. */
    public fun responseStarted(): Unit = circuitBreaker.responseStarted()

    /** Withdraws a ticket that is no longer wanted. */
    public fun withdraw(ticket: Ticket) {
        waiting.remove(ticket)
    }

    /** Places waiting tickets while there is room, and refuses those that waited in vain. */
    public fun resolveQueued(now: Timestamp): List<ResolvedTicket> {
        if (waiting.isEmpty()) return emptyList()
        val resolved = ArrayList<ResolvedTicket>()
        waiting.sortWith(serviceOrder(now))
        val rest = waiting.iterator()
        while (rest.hasNext()) {
            val t = rest.next()
            val placement = when {
                now > t.latestUsefulStart -> Placement.Refused(MIN_RETRY_DELAY, RefusalReason.OVERLOADED)
                !circuitBreaker.allowsRequest(now) && t.retryUnlikely -> continue
                !circuitBreaker.allowsRequest(now) -> Placement.Refused(MAX_RETRY_DELAY, RefusalReason.OUTAGE)
                else -> assign(t, now) ?: continue
            }
            rest.remove()
            resolved += ResolvedTicket(t, placement)
        }
        return resolved
    }

    private fun assign(ticket: Ticket, now: Timestamp): Placement.Assigned? {
        val candidates = loads.values.filter { it.replica.id !in ticket.excluded && freeCapacity(it) > 0 }
        val healthy = candidates.filterNot { it.isAvoided(now) }
        val usable = healthy.ifEmpty { if (loads.values.all { it.isAvoided(now) }) candidates else return null }
        val best = usable.minByOrNull { cost(it) } ?: return null
        best.inFlight++
        circuitBreaker.requestPlaced(now)
        return Placement.Assigned(best.replica)
    }

    private fun capacity(load: ReplicaLoad): Int =
        if (load.slow && !allSlow) 0 else (load.replica.slots * requestsPerSlot).toInt().coerceAtLeast(1)

    private val allSlow: Boolean get() = loads.values.all { it.slow }

    private fun freeCapacity(load: ReplicaLoad): Int = capacity(load) - load.inFlight - load.inFlightElsewhere

    private fun cost(load: ReplicaLoad): Double {
        val utilization = (load.inFlight + load.inFlightElsewhere + 1).toDouble() / capacity(load)
        return if (load.replica.zone == ownZone) utilization else utilization + REMOTE_ZONE_PENALTY
    }

    /** More would crowd out, when the outage ends, those who can still be on time. */
    private val maxQueuedInOutage: Int get() = (totalCapacity * OUTAGE_QUEUE_FRACTION / instances).toInt()

    private val totalCapacity: Int get() = loads.values.sumOf { (capacity(it) - it.inFlightElsewhere).coerceAtLeast(0) }

    private fun expectedWait(ticket: Ticket, now: Timestamp): Duration {
        val order = serviceOrder(now)
        val ahead = waiting.count { order.compare(it, ticket) <= 0 } + 1
        return meanAttemptTime * (ahead.toDouble() / totalCapacity.coerceAtLeast(1))
    }

    private companion object {
        /** Orders tickets for service: on time first, then by priority, then by latest start. */
        fun serviceOrder(now: Timestamp): Comparator<Ticket> =
            compareBy({ it.latestOnTimeStart < now }, { it.priority }, { it.latestOnTimeStart.micros })

        /** A stream read again elsewhere costs its group a pass or two; from here on a slow rank costs more. */
        const val MOVE_SLOWDOWN = 2.0

        /** From here on the fixed part of a pass alone takes several times the longest pause that is on time. */
        const val MOVE_AND_WAIT_SLOWDOWN = 4.0

        /** Part of all places that may be taken by those who waited for the end of an outage. */
        const val OUTAGE_QUEUE_FRACTION = 1.0 / 3

        /** Used until attempts have ended; about the time of a short model answer. */
        val INITIAL_ATTEMPT_TIME: Duration = 1.seconds

        /** Weight of the newest attempt in the mean. */
        const val ATTEMPT_TIME_WEIGHT = 0.05

        /** A request goes to another zone when the own one is busier by this share of its places. */
        const val REMOTE_ZONE_PENALTY = 0.35
        val NO_REPLICA_RETRY_DELAY: Duration = 400.milliseconds
        val MIN_RETRY_DELAY: Duration = 100.milliseconds

        /** Callers cap the pause at a third of their remaining time; longer ones only lose what they have left. */
        val MAX_RETRY_DELAY: Duration = 2_500.milliseconds
    }
}
