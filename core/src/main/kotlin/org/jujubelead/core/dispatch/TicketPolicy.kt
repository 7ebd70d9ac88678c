/**
 * Determines how long a request may wait for a replica and its priority in the queue.
 *
 * This matters for a service that is near its capacity or has just recovered from an outage: a request waits only as
 * long as an answer is still useful to its caller, a stream that has started takes precedence over new ones, and a
 * caller that retries after a refusal is queued instead of being refused again.
 */
package org.jujubelead.core.dispatch

import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.route.RequestKind
import org.jujubelead.core.route.Route
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request that needs a replica.
 *
 * @property timeout maximum time from the arrival of the request, as set by the caller and the operator.
 * @property triedReplicas replicas that the request has already been sent to.
 * @property streamStarted true if the caller has already received events.
 */
public class PendingRequest(
    public val route: Route,
    public val priority: Int,
    public val arrivedAt: Timestamp,
    public val timeout: Duration,
    public val triedReplicas: Set<ReplicaId>,
    public val streamStarted: Boolean,
)

/** Creates the ticket with which [request] is submitted at [now]. */
public fun ticketFor(request: PendingRequest, now: Timestamp): Ticket {
    val deadline = request.arrivedAt + request.timeout
    if (request.streamStarted) {
        val until = now + MAX_STREAM_GAP
        return Ticket(
            STARTED_STREAM_PRIORITY,
            latestOnTimeStart = until,
            latestUsefulStart = minOf(until, deadline),
            excluded = request.triedReplicas,
            continuesStream = true,
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

/** Fraction of the objective by which the request must start to be on time; the rest is processing time. */
private const val ON_TIME_START_FRACTION = 0.55

/** Fraction of the timeout that may be spent in the queue. */
private const val MAX_QUEUE_FRACTION = 0.3

/** A timeout below this fraction of the route's timeout marks a caller that was refused before; few retry again. */
private const val RETRY_TIMEOUT_FRACTION = 0.8

/** Fraction of the timeout that a retry may spend in the queue; most answers fit into the rest. */
private const val RETRY_MAX_QUEUE_FRACTION = 0.35

/** Precedes all priorities of routes and workspaces, which start at 0. */
private const val STARTED_STREAM_PRIORITY = -1

/** Callers abandon a stream after a gap of two seconds, and the next event also needs some time. */
private val MAX_STREAM_GAP: Duration = 1_500.milliseconds
