/** Writes the log lines of one request: its result and the results of its attempts. */
package org.jujubelead.gateway.caller

import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.core.route.Route
import org.jujubelead.core.route.Workspace
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.telemetry.LogEvent
import kotlin.time.Duration

internal class RequestLog(private val dataPlane: DataPlane, private val request: InboundRequest) {
    /** Set once the request has been authorized. */
    var route: Route? = null
    var workspace: Workspace? = null

    private val sinceArrival: Long get() = (ProcessClock.now() - request.arrivedAt).inWholeMilliseconds

    private val sharedParts: String? get() = request.sharedParts.joinToString(" ").ifEmpty { null }

    /**
     * Logs that the request was refused or failed. [status] is 0 if its connection was closed instead.
     *
     * @param current attempt that is ended with the request; null if none is in progress.
     */
    fun ended(
        event: LogEvent,
        status: Int,
        reason: String,
        attempts: Int,
        current: Attempt?,
        queueLength: Int?,
    ) = dataPlane.log.log(
        event,
        "request" to request.id,
        "route" to route?.name,
        "workspace" to workspace?.id,
        "status" to status,
        "reason" to reason,
        "attempts" to attempts,
        "millis" to sinceArrival,
        "configuration" to dataPlane.state.configuration?.version,
        "configurationAgeMillis" to
            dataPlane.state.age(ProcessClock.read()).takeIf { it.isFinite() }?.inWholeMilliseconds,
        "waiting" to queueLength,
        "replica" to current?.replica?.id,
        "events" to current?.eventCount,
        "silentMillis" to current?.silence?.inWholeMilliseconds,
        "parts" to sharedParts,
        "ownPart" to request.ownPart,
    )

    /** @param attempt attempt that was answered; null if another one's error response is passed on. */
    fun answered(status: Int, replica: ReplicaId?, attempts: Int, attempt: Attempt?) = dataPlane.log.log(
        LogEvent.REQUEST_ANSWERED,
        "request" to request.id,
        "route" to route?.name,
        "status" to status,
        "replica" to replica,
        "attempts" to attempts,
        "connection" to attempt?.connectionPort,
        "connectionUse" to attempt?.connectionRequestCount,
        "unframed" to attempt?.unframed?.takeIf { it },
        "millis" to sinceArrival,
        "parts" to sharedParts,
        "ownPart" to request.ownPart,
    )

    fun abandoned(attempts: Int, lastEvent: Long?) = dataPlane.log.log(
        LogEvent.REQUEST_ABANDONED,
        "request" to request.id,
        "afterMillis" to sinceArrival,
        "attempts" to attempts,
        "lastEvent" to lastEvent,
    )

    fun attemptEnded(a: Attempt, end: AttemptEnd, number: Int, elapsed: Duration, lastEvent: Long?) =
        dataPlane.log.log(
            LogEvent.ATTEMPT_ENDED,
            "request" to request.id,
            "replica" to a.replica.id,
            "attempt" to number,
            "end" to end.label,
            "heldMillis" to elapsed.inWholeMilliseconds,
            "connection" to a.connectionPort,
            "connectionUse" to a.connectionRequestCount,
            "answerTo" to a.foreignId,
            "unframed" to a.unframed.takeIf { it },
            "lastEvent" to lastEvent,
            "responseStarted" to a.responseStarted,
            "events" to a.eventCount,
            "parts" to sharedParts,
            "ownPart" to request.ownPart,
        )

    fun resumed(lastEvent: Long?) =
        dataPlane.log.log(LogEvent.STREAM_RESUMED, "request" to request.id, "after" to lastEvent)
}
