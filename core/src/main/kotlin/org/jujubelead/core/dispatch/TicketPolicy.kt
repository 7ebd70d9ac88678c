/**
 * How long a request may wait for a replica, and before which others it is placed.
 *
 * The load this answers is a service near its capacity, or one that is back after an outage: a request waits no longer
 * than an answer still helps its caller, a stream that has begun goes on before others begin, and a caller who has come
 * back after a refusal waits instead of being lost.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.route.RequestKind
import org.jujubelead.core.route.Route
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request that wants a replica.
 *
 * @property patience how long the caller and the operator let it take, from its arrival.
 * @property tried replicas that it has been sent to already.
 * @property streamStarted true when its caller has got events already.
 */
public class PendingRequest(
    public val route: Route,
    public val priority: Int,
    public val arrivedAt: Timestamp,
    public val patience: Duration,
    public val tried: Set<ReplicaId>,
    public val streamStarted: Boolean,
)

/** The ticket with which [request] is submitted at [now]. */
public fun ticketFor(request: PendingRequest, now: Timestamp): Ticket {
    val deadline = request.arrivedAt + request.patience
    if (request.streamStarted) {
        val until = now + LONGEST_GAP
        return Ticket(
            BEGUN_PRIORITY,
            onTimeUntil = until,
            usefulUntil = minOf(until, deadline),
            excluded = request.tried,
        )
    }
    val returned = request.patience < request.route.timeout * RETURNED_SHARE
    val useful = request.arrivedAt + request.patience * if (returned) LAST_CHANCE_SHARE else USEFUL_SHARE
    return Ticket(
        priority = request.priority,
        onTimeUntil = request.arrivedAt + request.route.objective * ON_TIME_SHARE,
        usefulUntil = minOf(useful, deadline).coerceAtLeast(now),
        excluded = request.tried,
        lastChance = returned && request.route.kind is RequestKind.Stream,
    )
}

/** Part of the objective after which a start is too late to be on time; the rest is the work itself. */
private const val ON_TIME_SHARE = 0.55

/** Part of the caller's patience that may pass in the queue. */
private const val USEFUL_SHARE = 0.3

/** Callers with less of the route's time than this have been refused before, and seldom come back again. */
private const val RETURNED_SHARE = 0.8

/** Part of the patience of such a caller that may pass in the queue; most answers fit into the rest. */
private const val LAST_CHANCE_SHARE = 0.35

/** Before all priorities of routes and workspaces, which begin at 0. */
private const val BEGUN_PRIORITY = -1

/** Callers abandon a stream after a gap of two seconds; the next event takes its time too. */
private val LONGEST_GAP: Duration = 1_500.milliseconds
