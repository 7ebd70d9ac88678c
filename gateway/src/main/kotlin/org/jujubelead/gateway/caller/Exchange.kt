/**
 * One request of a caller from its arrival to its final answer.
 *
 * An exchange finds the route and the workspace, waits for a replica, and runs one attempt after another. A request
 * that may not be repeated is tried again only when it is proved that it did not run. A refusal with status 503 says
 * that the request did not run; where that is not certain, the answer is 502 or 504. Everything happens on the traffic
 * thread.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import org.jujubelead.core.dispatch.AttemptOutcome
import org.jujubelead.core.dispatch.PendingRequest
import org.jujubelead.core.dispatch.Placement
import org.jujubelead.core.dispatch.Ticket
import org.jujubelead.core.dispatch.ticketFor
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.route.RequestKind
import org.jujubelead.core.route.Route
import org.jujubelead.core.route.Workspace
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.Headers
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class Exchange(
    private val traffic: Traffic,
    private val caller: CallerConnection,
    private val request: InboundRequest,
) {
    /** True once the final answer is given or the caller has left. */
    var over = false
        private set

    private val log = RequestLog(traffic, request)
    private lateinit var route: Route
    private var service = ServiceId("")
    private var workspace: Workspace? = null

    /** How long the caller and the operator let this request take. */
    private var patience = Duration.ZERO
    private var deadline: Timestamp = request.arrivedAt
    private var ticket: Ticket? = null
    private var attempt: Attempt? = null
    private val tried = LinkedHashSet<ReplicaId>()
    private var attempts = 0
    private var streamStarted = false

    /** True once an attempt has ended of which it is not known whether it ran. */
    private var mayHaveRun = false

    /** The failure that a replica answered with, for when no other attempt succeeds. */
    private var replicaFailure: WholeAnswer? = null
    private var lastEvent: Long? = request.headers.get(Headers.LAST_EVENT_ID)?.trim()?.toLongOrNull()
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var silenceTimer: ScheduledFuture<*>? = null

    fun start() {
        traffic.openExchanges++
        if (traffic.closed) return refuse(START_PAUSE, "stopping", close = true)
        when (val a = authorize(request, traffic.state, traffic.bounds, ProcessClock.read())) {
            is Authorization.Undecided -> return refuse(STALE_PAUSE, a.reason, close = true)

            is Authorization.Denied -> {
                return ownAnswer(LogEvent.REQUEST_REFUSED, a.status, a.reason)
            }

            is Authorization.Allowed -> {
                route = a.route
                workspace = a.workspace
                log.route = a.route
                log.workspace = a.workspace
            }
        }
        patience = minOf(route.timeout, request.timeLeftMillis?.milliseconds ?: route.timeout)
        deadline = request.arrivedAt + patience
        service = route.serviceFor(request.id.hashCode())
        traffic.budget(service).requestArrived(request.arrivedAt)
        val left = deadline - ProcessClock.now()
        deadlineTimer =
            traffic.loop.schedule(::expired, left.inWholeMilliseconds.coerceAtLeast(0), TimeUnit.MILLISECONDS)
        seekReplica()
    }

    private fun seekReplica() {
        val pending = PendingRequest(
            route = route,
            priority = workspace?.priority ?: route.priority,
            arrivedAt = request.arrivedAt,
            timeout = patience,
            triedReplicas = tried.toSet(),
            streamStarted = streamStarted,
        )
        val t = ticketFor(pending, ProcessClock.now())
        ticket = t
        placed(traffic.submit(this, service, t))
    }

    /** Goes on with what the queue decided. */
    fun placed(placement: Placement) {
        if (over) return
        when (placement) {
            is Placement.Queued -> Unit

            is Placement.Assigned -> {
                ticket = null
                startAttempt(placement.replica)
            }

            is Placement.Refused -> {
                ticket = null
                notPlaced(placement.retryAfter, placement.reason.name.lowercase().replace('_', '-'))
            }
        }
    }

    private fun startAttempt(replica: Replica) {
        attempts++
        tried += replica.id
        val a = Attempt(this, replica, request, resumesAfter = if (streamStarted) lastEvent else null)
        attempt = a
        val mostIdle = if (route.kind.repeatable) MOST_IDLE else MOST_IDLE_ONCE
        val pool = traffic.pool(replica)
        pool.acquire(mostIdle) { connection ->
            when {
                attempt !== a || over -> connection?.let(pool::giveBack)

                connection == null -> attemptEnded(
                    a,
                    AttemptEnd.NotRun(AttemptOutcome.FAILED, "unreachable", arrived = false),
                )

                else -> a.send(connection, timeLeft = deadline - ProcessClock.now(), workspace = workspace)
            }
        }
        if (route.kind == RequestKind.Idempotent && attempts < route.maxAttempts) watchForSilence(a)
    }

    /** Gives up on an attempt that is silent while another replica could still answer in time. */
    private fun watchForSilence(watched: Attempt) {
        val wait = route.objective * SILENCE_SHARE
        silenceTimer = traffic.loop.schedule(
            {
                val silent = attempt === watched && !watched.answering
                if (!over && silent && mayRepeat()) {
                    watched.cancel()
                    attemptEnded(watched, AttemptEnd.Lost("silent"))
                }
            },
            wait.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Goes on with a stream at another replica when its own one has become slow, if that is possible at once. */
    fun leaveSlowReplica() {
        val a = attempt ?: return
        val now = ProcessClock.now()
        if (over || !streamStarted || !route.kind.repeatable) return
        if (!mayRepeat() || !traffic.budget(service).available(now)) return
        if (!traffic.queue(service).shouldMoveStream(a.replica.id, tried, now)) return
        a.cancel()
        attemptEnded(a, AttemptEnd.Moved)
    }

    private fun mayRepeat(): Boolean = attempts < route.maxAttempts && deadline - ProcessClock.now() > SHORTEST_ATTEMPT

    /** Called once by each attempt. */
    fun attemptEnded(a: Attempt, end: AttemptEnd) {
        if (attempt !== a) return
        attempt = null
        silenceTimer?.cancel(false)
        val held = ProcessClock.now() - a.startedAt
        traffic.ended(service, a.replica.id, end.outcome, held)
        if (over) return
        traffic.metrics.attempts.labelValues(end.label).inc()
        if (end !is AttemptEnd.Answered) {
            log.attemptEnded(a, end, attempts, held, lastEvent)
        }
        when (end) {
            is AttemptEnd.Answered -> answered(a, end)

            is AttemptEnd.Moved -> {
                mayHaveRun = true
                if (!tryAgain(arrived = true)) giveUpLost(end.label)
            }

            is AttemptEnd.NotRun -> if (!tryAgain(arrived = end.arrived)) notPlaced(FULL_PAUSE, end.label)

            is AttemptEnd.Lost -> {
                mayHaveRun = true
                replicaFailure = end.replicaAnswer ?: replicaFailure
                if (!(route.kind.repeatable && tryAgain(arrived = true))) giveUpLost(end.label)
            }
        }
    }

    private fun tryAgain(arrived: Boolean): Boolean {
        val another = if (arrived) {
            mayRepeat()
        } else {
            attempts < MOST_UNREACHABLE &&
                deadline - ProcessClock.now() > SHORTEST_ATTEMPT
        }
        if (!another) return false
        if (arrived && !traffic.budget(service).tryTake(ProcessClock.now())) return false
        if (streamStarted) log.resumed(lastEvent)
        seekReplica()
        return true
    }

    /** Ends the request when its last attempt did not run. An earlier one may have run all the same. */
    private fun notPlaced(after: Duration, reason: String) {
        if (mayHaveRun) giveUpLost(reason) else refuse(after, reason)
    }

    private fun giveUpLost(reason: String) {
        if (streamStarted) return breakStream(reason)
        val given = replicaFailure
        if (given != null) return deliver(given.status, given.headers, given.body)
        ownAnswer(LogEvent.REQUEST_FAILED, HttpResponseStatus.BAD_GATEWAY, reason)
    }

    private fun answered(a: Attempt, end: AttemptEnd.Answered) {
        when (end) {
            is AttemptEnd.Answered.Whole -> deliver(end.answer.status, end.answer.headers, end.answer.body)

            is AttemptEnd.Answered.StreamEnded -> {
                if (!streamStarted) startStream(a.streamHead)
                finish("answered", HttpResponseStatus.OK.code())
                caller.endStream(request)
            }
        }
    }

    private fun deliver(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        finish("answered", status.code())
        caller.answer(request, status, headers, body, close = false)
    }

    /** Passes one event on. [bytes] is consumed. */
    fun event(a: Attempt, id: Long?, bytes: ByteBuf) {
        val last = lastEvent
        val known = streamStarted && id != null && last != null && id <= last
        if (over || known) {
            bytes.release()
            return
        }
        if (!streamStarted) startStream(a.streamHead)
        if (id != null) lastEvent = id
        caller.streamPart(bytes)
        if (!caller.writable) a.reading(false)
    }

    private fun startStream(head: AnswerHead) {
        streamStarted = true
        traffic.queue(service).responseStarted()
        traffic.metrics.firstEvent.observe(
            (ProcessClock.now() - request.arrivedAt).inWholeMicroseconds / MICROS_PER_SECOND,
        )
        caller.startStream(request, head.status, head.headers)
    }

    fun callerWritable(writable: Boolean) {
        if (writable) attempt?.reading(true)
    }

    private fun expired() {
        if (over) return
        when {
            streamStarted -> breakStream("deadline")
            attempt == null && !mayHaveRun -> refuse(FULL_PAUSE, "deadline")
            else -> ownAnswer(LogEvent.REQUEST_FAILED, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
        }
    }

    fun callerLeft() {
        if (over) return
        log.abandoned(attempts, lastEvent)
        finish("abandoned", status = 0)
        request.release()
    }

    /** Answers that the request did not run and when to come back. */
    private fun refuse(after: Duration, reason: String, close: Boolean = false) {
        val headers = ownHeaders()
        headers[HttpHeaderNames.RETRY_AFTER] = "%.3f".format(after.inWholeMilliseconds / MILLIS_PER_SECOND)
        ownAnswer(LogEvent.REQUEST_REFUSED, HttpResponseStatus.SERVICE_UNAVAILABLE, reason, headers, close)
    }

    private fun ownAnswer(
        event: LogEvent,
        status: HttpResponseStatus,
        reason: String,
        headers: HttpHeaders = ownHeaders(),
        close: Boolean = false,
    ) {
        logEnd(event, status.code(), reason)
        finish(reason, status.code())
        caller.answer(request, status, headers, Unpooled.EMPTY_BUFFER, close)
    }

    private fun breakStream(reason: String) {
        logEnd(LogEvent.REQUEST_FAILED, status = 0, reason = "stream-broken:$reason")
        finish("stream-broken", status = 0)
        caller.abort(request)
    }

    private fun ownHeaders(): HttpHeaders = DefaultHttpHeaders().apply {
        request.id?.let { set(Headers.REQUEST_ID, it.value) }
    }

    private fun logEnd(event: LogEvent, status: Int, reason: String) {
        val waiting = if (::route.isInitialized) traffic.queue(service).waitingCount else null
        log.ended(event, status, reason, attempts, waiting)
    }

    private fun finish(result: String, status: Int) {
        if (over) return
        over = true
        traffic.openExchanges--
        deadlineTimer?.cancel(false)
        silenceTimer?.cancel(false)
        ticket?.let { traffic.withdraw(service, it) }
        ticket = null
        attempt?.let {
            it.cancel()
            attempt = null
            traffic.ended(service, it.replica.id, AttemptOutcome.ABANDONED, ProcessClock.now() - it.startedAt)
        }
        val took = ProcessClock.now() - request.arrivedAt
        traffic.metrics.requests.labelValues(result).inc()
        traffic.metrics.duration.observe(took.inWholeMicroseconds / MICROS_PER_SECOND)
        if (result == "answered") log.answered(status, tried.lastOrNull(), attempts)
    }

    private companion object {
        /** Part of the objective after which a silent replica is given up for another one. */
        const val SILENCE_SHARE = 0.7

        /** Attempts when replicas cannot be reached at all. */
        const val MOST_UNREACHABLE = 3
        const val MICROS_PER_SECOND = 1e6
        const val MILLIS_PER_SECOND = 1e3

        /** With less time left no replica can answer. */
        val SHORTEST_ATTEMPT: Duration = 15.milliseconds
        val START_PAUSE: Duration = 300.milliseconds

        /** Another instance can serve the caller at once, since the connection is closed. */
        val STALE_PAUSE: Duration = 50.milliseconds
        val FULL_PAUSE: Duration = 150.milliseconds
        val MOST_IDLE: Duration = 10_000.milliseconds

        /** A request that runs at most once is lost when a stale connection swallows it. */
        val MOST_IDLE_ONCE: Duration = 3_000.milliseconds
    }
}
