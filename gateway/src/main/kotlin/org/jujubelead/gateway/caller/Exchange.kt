/**
 * Handles one request of a caller from its arrival to the final response.
 *
 * An exchange authorizes the request, waits for a replica and makes attempts one after another. A request that must not
 * be executed twice is retried only when it is certain that the replica did not execute it. Status 503 tells the caller
 * that the request was not executed; when that is uncertain, the response is 502 or 504. Runs on the data plane's event
 * loop.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import org.jujubelead.core.dispatch.AttemptOutcome
import org.jujubelead.core.dispatch.PendingRequest
import org.jujubelead.core.dispatch.Placement
import org.jujubelead.core.dispatch.Ticket
import org.jujubelead.core.dispatch.ticketFor
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.quarantine.QuarantineDecision
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.route.RequestKind
import org.jujubelead.core.route.Route
import org.jujubelead.core.route.Workspace
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ByteBudget
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.quarantine.PromptGuard
import org.jujubelead.gateway.schedule.scheduleOnce
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.Headers
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class Exchange(
    private val dataPlane: DataPlane,
    private val caller: CallerConnection,
    private val request: InboundRequest,
) {
    /** True once the final response was sent or the caller disconnected. */
    var finished = false
        private set

    val loop: EventLoop get() = dataPlane.loop
    val callerWritable: Boolean get() = caller.writable

    /** Sends the events that were forwarded. */
    val flushStream: () -> Unit get() = caller::flush
    val responseMemory: ByteBudget get() = dataPlane.responseMemory
    val limitTracker: LimitTracker get() = dataPlane.limitTracker

    /** Called with a replica that says in the head of an answer that it leaves. */
    val onReplicaLeaving: (Replica) -> Unit get() = dataPlane::onReplicaLeaving

    private val log = RequestLog(dataPlane, request)
    private lateinit var route: Route
    private var service = ServiceId("")
    private var workspace: Workspace? = null

    /** Time limit of the request: the lower of the caller's deadline and the route's timeout. */
    private var timeout = Duration.ZERO
    private var deadline: Timestamp = request.arrivedAt
    private var ticket: Ticket? = null
    private var attempt: Attempt? = null

    /** Attempt whose response is passed on. */
    private var answeredBy: Attempt? = null
    private val triedReplicas = LinkedHashSet<ReplicaId>()
    private var attempts = 0
    private var streamStarted = false

    private var guard: PromptGuard? = null

    /** True once an attempt has ended that the replica may have executed. */
    private var mayHaveExecuted = false

    /** Error response of a replica, sent to the caller when no other attempt succeeds. */
    private var errorResponse: BufferedResponse? = null
    private var lastEvent: Long? = request.headers.get(Headers.LAST_EVENT_ID)?.trim()?.toLongOrNull()
    private var deadlineTimer: Future<*>? = null
    private var responseTimer: Future<*>? = null

    fun start() {
        dataPlane.activeExchanges++
        if (dataPlane.closed) return refuse(RETRY_AFTER_STOPPING, "stopping", close = true)
        when (val a = authorize(request, dataPlane.state, dataPlane.bounds, ProcessClock.read())) {
            is Authorization.Undecided -> return refuse(RETRY_AFTER_UNDECIDED, a.reason, close = true)

            is Authorization.Denied -> return respondLocally(LogEvent.REQUEST_REFUSED, a.status, a.reason)

            is Authorization.Allowed -> {
                route = a.route
                workspace = a.workspace
                log.route = a.route
                log.workspace = a.workspace
            }
        }
        timeout = minOf(route.timeout, request.timeLeftMillis?.milliseconds ?: route.timeout)
        deadline = request.arrivedAt + timeout
        service = route.serviceFor(request.id.hashCode())
        dataPlane.retryBudget(service).requestArrived(request.arrivedAt)
        val promptGuard = dataPlane.prompts.guard(service, request.sharedParts, request.ownPart)
        guard = promptGuard
        when (val decision = promptGuard.admit()) {
            is QuarantineDecision.Refused -> return refuse(decision.retryAfter, "quarantined-part")
            is QuarantineDecision.Admitted -> Unit
        }
        val remaining = deadline - ProcessClock.now()
        deadlineTimer = dataPlane.loop.scheduleOnce(remaining, "deadline", ::onDeadlinePassed)
        requestReplica()
    }

    private fun requestReplica() {
        if (!streamStarted && guard?.mustStop == true) return onNotPlaced(RETRY_AFTER_QUARANTINED, "quarantined-part")
        val pending = PendingRequest(
            route = route,
            priority = workspace?.priority ?: route.priority,
            arrivedAt = request.arrivedAt,
            timeout = timeout,
            triedReplicas = triedReplicas.toSet(),
            streamStarted = streamStarted,
        )
        val t = ticketFor(pending, ProcessClock.now())
        ticket = t
        onPlacement(dataPlane.submit(this, service, t))
    }

    /** Handles the decision of the queue. */
    fun onPlacement(placement: Placement) {
        if (finished) return
        when (placement) {
            is Placement.Queued -> Unit

            is Placement.Assigned -> {
                ticket = null
                startAttempt(placement.replica)
            }

            is Placement.Refused -> {
                ticket = null
                onNotPlaced(placement.retryAfter, placement.reason.name.lowercase().replace('_', '-'))
            }
        }
    }

    private fun startAttempt(replica: Replica) {
        attempts++
        triedReplicas += replica.id
        dataPlane.limitTracker.requestSent(replica)
        val a = Attempt(
            exchange = this,
            replica = replica,
            request = request,
            resumesAfter = if (streamStarted) lastEvent else null,
            repeatable = route.kind.repeatable,
        )
        attempt = a
        val maxIdle = if (route.kind.repeatable) MAX_IDLE else MAX_IDLE_AT_MOST_ONCE
        val pool = dataPlane.pool(replica)
        pool.acquire(maxIdle) { connection ->
            when {
                attempt !== a || finished -> connection?.let(pool::release)

                connection == null -> onAttemptEnded(a, AttemptEnd.NotExecuted.UNREACHABLE)

                !dataPlane.isUsable(replica) -> {
                    pool.release(connection)
                    onAttemptEnded(a, AttemptEnd.NotExecuted.WITHDRAWN)
                }

                else -> a.send(connection, timeLeft = deadline - ProcessClock.now(), workspace = workspace)
            }
        }
        if (route.kind == RequestKind.Idempotent && attempts < route.maxAttempts) scheduleResponseTimeout(a)
    }

    /** Cancels an attempt without a response while another replica can still respond in time. */
    private fun scheduleResponseTimeout(watched: Attempt) {
        val wait = route.objective * RESPONSE_TIMEOUT_FRACTION
        responseTimer = dataPlane.loop.scheduleOnce(wait, "response timeout") {
            val silent = attempt === watched && !watched.responseStarted
            if (!finished && silent && mayRetry) {
                watched.cancel()
                onAttemptEnded(watched, AttemptEnd.Failed("silent"))
            }
        }
    }

    /** Moves the stream to another replica when its replica has become slow and another one has capacity now. */
    fun moveStreamOffSlowReplica() {
        val a = attempt ?: return
        val now = ProcessClock.now()
        if (finished || !streamStarted || !route.kind.repeatable) return
        if (!mayRetry || !dataPlane.retryBudget(service).available(now)) return
        if (!dataPlane.queue(service).shouldMoveStream(a.replica.id, triedReplicas, now)) return
        a.cancel()
        onAttemptEnded(a, AttemptEnd.Moved)
    }

    /** Ends the request if it has not got an answer and a part of its prompt is quarantined now. */
    fun onQuarantineChanged() {
        if (finished || streamStarted || guard?.mustStop != true) return
        val a = attempt
        if (a != null) {
            a.cancel()
            onAttemptEnded(a, AttemptEnd.Quarantined)
        } else {
            ticket?.let {
                dataPlane.withdraw(service, it)
                ticket = null
                onNotPlaced(RETRY_AFTER_QUARANTINED, "quarantined-part")
            }
        }
    }

    private val mayRetry: Boolean get() = attempts < route.maxAttempts &&
        deadline - ProcessClock.now() > MIN_ATTEMPT_TIME

    /** Called once by each attempt when it ends. */
    fun onAttemptEnded(a: Attempt, result: AttemptEnd) {
        if (attempt !== a) return
        // The caller has the head of the stream's first replica; another answer cannot follow it.
        val discontinued = streamStarted && result is AttemptEnd.Answered.Buffered
        val end = if (discontinued) AttemptEnd.Failed("not-continued") else result
        attempt = null
        responseTimer?.cancel(false)
        val elapsed = ProcessClock.now() - a.startedAt
        dataPlane.onAttemptEnded(service, a.replica.id, end.outcome, elapsed)
        if (finished) return
        dataPlane.metrics.attempts.labelValues(end.label).inc()
        if (end !is AttemptEnd.Answered) {
            log.attemptEnded(a, end, attempts, elapsed, lastEvent)
        }
        when (end) {
            is AttemptEnd.Answered -> onAnswered(a, end)

            is AttemptEnd.Moved -> {
                mayHaveExecuted = true
                if (!tryRetry(reachedReplica = true)) failWithUnknownResult(end.label)
            }

            is AttemptEnd.NotExecuted -> if (!tryRetry(reachedReplica = end.reachedReplica)) {
                onNotPlaced(RETRY_AFTER_NO_CAPACITY, end.label)
            }

            is AttemptEnd.Failed -> {
                mayHaveExecuted = true
                errorResponse = end.errorResponse ?: errorResponse
                val unanswered = guard.takeIf { end.connectionLost && !streamStarted }
                if (unanswered != null) {
                    unanswered.onConnectionLost(a.replica, dataPlane.pool(a.replica), a.responseStarted) { mayRepeat ->
                        if (!finished) retryOrFail(end, mayRepeat)
                    }
                } else {
                    retryOrFail(end)
                }
            }

            is AttemptEnd.Quarantined -> {
                mayHaveExecuted = true
                failWithUnknownResult(end.label)
            }
        }
    }

    private fun retryOrFail(end: AttemptEnd.Failed, mayRepeat: Boolean = true) {
        val retrying = mayRepeat && route.kind.repeatable && tryRetry(reachedReplica = true)
        if (!retrying) failWithUnknownResult(end.label)
    }

    private fun tryRetry(reachedReplica: Boolean): Boolean {
        val limit = if (reachedReplica) route.maxAttempts else MAX_UNREACHABLE_ATTEMPTS
        if (attempts >= limit || deadline - ProcessClock.now() <= MIN_ATTEMPT_TIME) return false
        if (reachedReplica && !dataPlane.retryBudget(service).tryTake(ProcessClock.now())) return false
        if (streamStarted) log.resumed(lastEvent)
        requestReplica()
        return true
    }

    /** Ends a request whose last attempt was not executed. An earlier attempt may have been. */
    private fun onNotPlaced(retryAfter: Duration, reason: String) {
        if (mayHaveExecuted) failWithUnknownResult(reason) else refuse(retryAfter, reason)
    }

    private fun failWithUnknownResult(reason: String) {
        if (streamStarted) return abortStream(reason)
        val response = errorResponse
        if (response != null) return respond(response.status, response.headers, response.body)
        respondLocally(LogEvent.REQUEST_FAILED, HttpResponseStatus.BAD_GATEWAY, reason)
    }

    private fun onAnswered(a: Attempt, end: AttemptEnd.Answered) {
        answeredBy = a
        when (end) {
            is AttemptEnd.Answered.Buffered -> {
                if (end.response.status.codeClass() == HttpStatusClass.SUCCESS) guard?.recordAnswered()
                respond(end.response.status, end.response.headers, end.response.body)
            }

            is AttemptEnd.Answered.StreamEnded -> {
                if (!streamStarted) startStream(a.streamHead)
                finish("answered", HttpResponseStatus.OK.code())
                caller.endStream(request)
            }
        }
    }

    private fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        finish("answered", status.code())
        caller.respond(request, status, headers, body, close = false)
    }

    /**
     * Forwards one event to the caller and takes ownership of [bytes]. Events that the caller already has are dropped.
     */
    fun onEvent(a: Attempt, id: Long?, bytes: ByteBuf) {
        val last = lastEvent
        val duplicate = streamStarted && id != null && last != null && id <= last
        if (finished || duplicate) {
            bytes.release()
            return
        }
        if (a.eventCount == 1) guard?.recordAnswered()
        if (!streamStarted) startStream(a.streamHead)
        val maxGap = (route.kind as? RequestKind.Stream)?.maxEventGap
        val gap = a.gapSinceLastEvent()
        if (maxGap != null && gap != null) dataPlane.recordEventGap(service, gap, maxGap)
        if (id != null) lastEvent = id
        caller.writeStreamChunk(bytes)
    }

    private fun startStream(head: ResponseHead) {
        streamStarted = true
        dataPlane.queue(service).responseStarted()
        dataPlane.metrics.firstEvent.observe(
            (ProcessClock.now() - request.arrivedAt).inWholeMicroseconds / MICROS_PER_SECOND,
        )
        caller.startStream(request, head.status, head.headers)
    }

    fun onWritabilityChanged(writable: Boolean) {
        if (writable) attempt?.onCallerWritable()
    }

    private fun onDeadlinePassed() {
        if (finished) return
        when {
            streamStarted -> abortStream("deadline")
            attempt == null && !mayHaveExecuted -> refuse(RETRY_AFTER_NO_CAPACITY, "deadline")
            else -> respondLocally(LogEvent.REQUEST_FAILED, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
        }
    }

    fun onCallerDisconnected() {
        if (finished) return
        log.abandoned(attempts, lastEvent)
        finish("abandoned", status = 0)
        request.release()
    }

    /** Responds with status 503 and the time after which to retry: the request was not executed. */
    private fun refuse(retryAfter: Duration, reason: String, close: Boolean = false) {
        val headers = request.localHeaders()
        headers[HttpHeaderNames.RETRY_AFTER] = "%.3f".format(retryAfter.inWholeMilliseconds / MILLIS_PER_SECOND)
        respondLocally(LogEvent.REQUEST_REFUSED, HttpResponseStatus.SERVICE_UNAVAILABLE, reason, headers, close)
    }

    private fun respondLocally(
        event: LogEvent,
        status: HttpResponseStatus,
        reason: String,
        headers: HttpHeaders = request.localHeaders(),
        close: Boolean = false,
    ) {
        logEnd(event, status.code(), reason)
        finish(reason, status.code())
        caller.respond(request, status, headers, Unpooled.EMPTY_BUFFER, close)
    }

    private fun abortStream(reason: String) {
        logEnd(LogEvent.REQUEST_FAILED, status = 0, reason = "stream-broken:$reason")
        finish("stream-broken", status = 0)
        caller.abort(request)
    }

    private fun logEnd(event: LogEvent, status: Int, reason: String) {
        val queueLength = if (::route.isInitialized) dataPlane.queue(service).waitingCount else null
        log.ended(event, status, reason, attempts, attempt, queueLength)
    }

    private fun finish(result: String, status: Int) {
        if (finished) return
        finished = true
        dataPlane.activeExchanges--
        deadlineTimer?.cancel(false)
        responseTimer?.cancel(false)
        ticket?.let { dataPlane.withdraw(service, it) }
        ticket = null
        attempt?.let {
            it.cancel()
            attempt = null
            dataPlane.onAttemptEnded(
                service,
                it.replica.id,
                AttemptOutcome.ABANDONED,
                ProcessClock.now() - it.startedAt,
            )
        }
        val took = ProcessClock.now() - request.arrivedAt
        dataPlane.metrics.requests.labelValues(result).inc()
        dataPlane.metrics.duration.observe(took.inWholeMicroseconds / MICROS_PER_SECOND)
        if (result == "answered") log.answered(status, triedReplicas.lastOrNull(), attempts, answeredBy)
    }

    private companion object {
        /** Fraction of the latency objective after which an attempt without a response is cancelled. */
        const val RESPONSE_TIMEOUT_FRACTION = 0.7

        /** Limit of attempts when the request is not sent. */
        const val MAX_UNREACHABLE_ATTEMPTS = 3
        const val MICROS_PER_SECOND = 1e6
        const val MILLIS_PER_SECOND = 1e3

        /** No replica can respond in less time. */
        val MIN_ATTEMPT_TIME: Duration = 15.milliseconds
        val RETRY_AFTER_STOPPING: Duration = 300.milliseconds

        /** Short, since the connection is closed and another instance can serve the caller at once. */
        val RETRY_AFTER_UNDECIDED: Duration = 50.milliseconds
        val RETRY_AFTER_NO_CAPACITY: Duration = 150.milliseconds

        /** The pause before the first trial of a quarantined part. */
        val RETRY_AFTER_QUARANTINED: Duration = 120.seconds
        val MAX_IDLE: Duration = 10_000.milliseconds

        /**
         * Shorter for requests that are executed at most once: they cannot be retried after a write to a stale
         * connection.
         */
        val MAX_IDLE_AT_MOST_ONCE: Duration = 3_000.milliseconds
    }
}
