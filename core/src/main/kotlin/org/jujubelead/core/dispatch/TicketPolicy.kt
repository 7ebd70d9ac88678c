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
 * @property timeout how long the caller and the operator let it take, from its arrival.
 * @property triedReplicas replicas that it has been sent to already.
 * @property streamStarted true when its caller has got events already.
 */
public class PendingRequest(
    public val route: Route,
    public val priority: Int,
    public val arrivedAt: Timestamp,
    public val timeout: Duration,
    public val triedReplicas: Set<ReplicaId>,
    public val streamStarted: Boolean,
)

/** The ticket with which [request] is submitted at [now]. */
public fun ticketFor(request: PendingRequest, now: Timestamp): Ticket {
    val deadline = request.arrivedAt + request.timeout
    if (request.streamStarted) {
        val until = now + MAX_STREAM_GAP
        return Ticket(
            STARTED_STREAM_PRIORITY,
            latestOnTimeStart = until,
            latestUsefulStart = minOf(until, deadline),
            excluded = request.triedReplicas,
        )
    }
    val isRetry = request.timeout < request.route.timeout * RETRY_TIMEOUT_FRACTION
    val useful = request.arrivedAt + request.timeout * if (isRetry) RETRY_MAX_QUEUE_FRACTION else MAX_QUEUE_FRACTION
    return Ticket(
        priority = request.priority,
        latestOnTimeStart = request.arrivedAt + request.route.objective * ON_TIME_START_FRACTION,
        latestUsefulStart = minOf(useful, deadline).coerceAtLeast(now),
        excluded = request.triedReplicas,
        retryUnlikely = isRetry && request.route.kind is RequestKind.Stream,
    )
}

/** Part of the objective after which a start is too late to be on time; the rest is the work itself. */
private const val ON_TIME_START_FRACTION = 0.55

/** Part of the caller's timeout that may pass in the queue. */
private const val MAX_QUEUE_FRACTION = 0.3

/** Callers with less of the route's time than this have been refused before, and seldom come back again. */
private const val RETRY_TIMEOUT_FRACTION = 0.8

/** Part of the timeout of such a caller that may pass in the queue; most answers fit into the rest. */
private const val RETRY_MAX_QUEUE_FRACTION = 0.35

/** Before all priorities of routes and workspaces, which begin at 0. */
private const val STARTED_STREAM_PRIORITY = -1

/** Callers abandon a stream after a gap of two seconds; the next event takes its time too. */
private val MAX_STREAM_GAP: Duration = 1_500.milliseconds
