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
 * @property onTimeUntil latest start with which it can still be on time.
 * @property usefulUntil latest start with which the caller still gets a whole answer.
 * @property excluded replicas that it has been sent to already.
 * @property lastChance true when the caller is not likely to come back after a refusal.
 */
public class Ticket(
    public val priority: Int,
    public val onTimeUntil: Timestamp,
    public val usefulUntil: Timestamp,
    public val excluded: Set<ReplicaId> = emptySet(),
    public val lastChance: Boolean = false,
)

/** What becomes of a ticket. */
public sealed interface Placement {
    public data class Assigned(val replica: Replica) : Placement

    public data object Queued : Placement

    /** Not run. The caller had best come back [after] this time. */
    public data class Refused(val after: Duration, val reason: RefusalReason) : Placement
}

public enum class RefusalReason { NO_REPLICA, OVERLOADED, OUTAGE }

/** A ticket that got its placement after it had waited. */
public class Settled(public val ticket: Ticket, public val placement: Placement)

/**
 * @param ownZone replicas of this zone are preferred.
 * @param placesPerSlot requests that a replica is given for each of its slots.
 */
public class ServiceQueue(private val ownZone: ZoneId, private val placesPerSlot: Double = 1.0) {
    private val loads = LinkedHashMap<ReplicaId, ReplicaLoad>()
    private val waiting = ArrayList<Ticket>()
    private var meanHold: Duration = INITIAL_HOLD

    /** Instances that place requests on the replicas, this one included. */
    public var instances: Int = 1
    private val outage = ServiceOutage()

    public val waitingCount: Int get() = waiting.size
    public val loadView: Collection<ReplicaLoad> get() = loads.values

    /** Replaces the usable replicas. Loads of those that stay are kept. */
    public fun replicasChanged(replicas: List<Replica>) {
        val ids = replicas.mapTo(HashSet()) { it.id }
        loads.keys.retainAll(ids)
        for (r in replicas) {
            val known = loads[r.id]
            if (known == null ||
                known.replica.bornMillis != r.bornMillis
            ) {
                loads[r.id] = ReplicaLoad(r)
            } else {
                known.replica = r
            }
        }
    }

    /** Sets the requests that other instances have at each replica. */
    public fun elsewhere(count: (ReplicaId) -> Int) {
        loads.values.forEach { it.elsewhere = count(it.replica.id) }
    }

    /** Sets how slow each replica is; 1 for a sound one. */
    public fun paces(pace: (Replica) -> Double) {
        loads.values.forEach { it.pace = pace(it.replica) }
    }

    /** Asks for a replica. A queued ticket comes back from [settle]. */
    public fun submit(ticket: Ticket, now: Timestamp): Placement {
        if (loads.keys.all {
                it in ticket.excluded
            }
        ) {
            return Placement.Refused(NO_REPLICA_PAUSE, RefusalReason.NO_REPLICA)
        }
        if (!outage.mayPlace(now)) {
            val waits = ticket.lastChance && now < ticket.usefulUntil && waiting.size < mostKeptInOutage
            if (!waits) return Placement.Refused(LONGEST_PAUSE, RefusalReason.OUTAGE)
            waiting += ticket
            return Placement.Queued
        }
        if (waiting.none { serviceOrder(now).compare(it, ticket) <= 0 }) assign(ticket, now)?.let { return it }
        val wait = expectedWait(ticket, now)
        if (now + wait > ticket.usefulUntil) {
            return Placement.Refused(after = wait.coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE), RefusalReason.OVERLOADED)
        }
        waiting += ticket
        return Placement.Queued
    }

    /**
     * True when a stream is better moved away from [replica]: its work is so slow that the whole group waits for it,
     * and a sound replica outside [excluded] has a place at once. With a very slow one no stream of the group would end
     * in time, so that the move is worth the wait for a place.
     */
    public fun betterMoved(replica: ReplicaId, excluded: Set<ReplicaId>, now: Timestamp): Boolean {
        val pace = loads[replica]?.pace ?: return false
        val others = loads.values.filter { !it.slow && it.replica.id !in excluded && !it.avoided(now) }
        return when {
            pace < PACE_TO_MOVE -> false
            pace < PACE_TO_MOVE_AND_WAIT -> waiting.isEmpty() && others.any { room(it) > 0 }
            else -> others.isNotEmpty()
        }
    }

    /** Gives the place of an ended attempt back. [held] is how long the attempt took. */
    public fun ended(replica: ReplicaId, outcome: AttemptOutcome, held: Duration, now: Timestamp) {
        loads[replica]?.ended(outcome, now)
        outage.ended(outcome, now)
        if (outcome == AttemptOutcome.ANSWERED) meanHold = meanHold * (1 - HOLD_WEIGHT) + held * HOLD_WEIGHT
    }

    /** A replica has begun to answer. */
    public fun answering(): Unit = outage.answering()

    /** Withdraws a ticket that is no longer wanted. */
    public fun withdraw(ticket: Ticket) {
        waiting.remove(ticket)
    }

    /** Places waiting tickets while there is room, and refuses those that waited in vain. */
    public fun settle(now: Timestamp): List<Settled> {
        if (waiting.isEmpty()) return emptyList()
        val settled = ArrayList<Settled>()
        waiting.sortWith(serviceOrder(now))
        val rest = waiting.iterator()
        while (rest.hasNext()) {
            val t = rest.next()
            val placement = when {
                now > t.usefulUntil -> Placement.Refused(SHORTEST_PAUSE, RefusalReason.OVERLOADED)
                !outage.mayPlace(now) && t.lastChance -> continue
                !outage.mayPlace(now) -> Placement.Refused(LONGEST_PAUSE, RefusalReason.OUTAGE)
                else -> assign(t, now) ?: continue
            }
            rest.remove()
            settled += Settled(t, placement)
        }
        return settled
    }

    private fun assign(ticket: Ticket, now: Timestamp): Placement.Assigned? {
        val candidates = loads.values.filter { it.replica.id !in ticket.excluded && room(it) > 0 }
        val sound = candidates.filterNot { it.avoided(now) }
        val usable = sound.ifEmpty { if (loads.values.all { it.avoided(now) }) candidates else return null }
        val best = usable.minByOrNull { cost(it) } ?: return null
        best.inFlight++
        outage.placed(now)
        return Placement.Assigned(best.replica)
    }

    private fun capacity(load: ReplicaLoad): Int =
        if (load.slow && !allSlow) 0 else (load.replica.slots * placesPerSlot).toInt().coerceAtLeast(1)

    private val allSlow: Boolean get() = loads.values.all { it.slow }

    private fun room(load: ReplicaLoad): Int = capacity(load) - load.inFlight - load.elsewhere

    private fun cost(load: ReplicaLoad): Double {
        val busy = (load.inFlight + load.elsewhere + 1).toDouble() / capacity(load)
        return if (load.replica.zone == ownZone) busy else busy + OTHER_ZONE_COST
    }

    /** More would crowd out, when the outage ends, those who can still be on time. */
    private val mostKeptInOutage: Int get() = (places * KEPT_SHARE / instances).toInt()

    private val places: Int get() = loads.values.sumOf { (capacity(it) - it.elsewhere).coerceAtLeast(0) }

    private fun expectedWait(ticket: Ticket, now: Timestamp): Duration {
        val order = serviceOrder(now)
        val ahead = waiting.count { order.compare(it, ticket) <= 0 } + 1
        return meanHold * (ahead.toDouble() / places.coerceAtLeast(1))
    }

    private companion object {
        /** Orders tickets for service: on time first, then by priority, then by latest start. */
        fun serviceOrder(now: Timestamp): Comparator<Ticket> =
            compareBy({ it.onTimeUntil < now }, { it.priority }, { it.onTimeUntil.micros })

        /** A stream read again elsewhere costs its group a pass or two; from here on a slow rank costs more. */
        const val PACE_TO_MOVE = 2.0

        /** From here on the fixed part of a pass alone takes several times the longest pause that is on time. */
        const val PACE_TO_MOVE_AND_WAIT = 4.0

        /** Part of all places that may be taken by those who waited for the end of an outage. */
        const val KEPT_SHARE = 1.0 / 3

        /** Used until attempts have ended; about the time of a short model answer. */
        val INITIAL_HOLD: Duration = 1.seconds

        /** Weight of the newest attempt in the mean. */
        const val HOLD_WEIGHT = 0.05

        /** A request goes to another zone when the own one is busier by this share of its places. */
        const val OTHER_ZONE_COST = 0.35
        val NO_REPLICA_PAUSE: Duration = 400.milliseconds
        val SHORTEST_PAUSE: Duration = 100.milliseconds

        /** Callers cap the pause at a third of their remaining time; longer ones only lose what they have left. */
        val LONGEST_PAUSE: Duration = 2_500.milliseconds
    }
}
