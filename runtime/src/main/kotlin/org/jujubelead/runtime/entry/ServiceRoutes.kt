/** HTTP routes for services, under the path prefixes in the settings. */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.google.protobuf.ByteString
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.RequestId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Header
import org.jujubelead.protocol.HttpCall
import org.jujubelead.protocol.ResponseHead
import org.jujubelead.runtime.telemetry.ServiceLevel
import org.jujubelead.settings.EffectiveSettings
import java.io.ByteArrayOutputStream

private val SAFE_METHODS = setOf("GET", "HEAD", "OPTIONS")

/** Hop-by-hop headers, and headers that this system sets or consumes. */
private val NON_FORWARDED_HEADERS = setOf(
    "authorization", "connection", "content-length", "expect", "host", "keep-alive", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade", "x-request-id",
)

/** An accepted service call. */
internal class ServiceJob(
    val id: RequestId,
    val caller: Caller,
    val service: ServiceId,
    val call: HttpCall,
    val key: String?,
    val values: EffectiveSettings,
    val start: Timestamp,
    val deadline: Timestamp,
) {
    val context: DispatchContext = DispatchContext(
        request = id,
        workspace = caller.workspace,
        deadline = deadline,
        idempotent = call.idempotent,
        priority = values.priority,
    )
    val routing: RoutingRequest =
        RoutingRequest(set = TargetSetId(kind = TargetKind.SERVICE, serves = service.value))
}

/** A service response assembled from its frames. */
internal class BufferedResponse {
    private var head: ResponseHead? = null
    private val body = ByteArrayOutputStream()

    fun add(frame: Frame) {
        when (frame.contentCase) {
            Frame.ContentCase.HEAD -> {
                head = frame.head
                body.reset()
            }

            Frame.ContentCase.BODY -> frame.body.writeTo(body)

            else -> Unit
        }
    }

    suspend fun respond(call: ApplicationCall) {
        val head = checkNotNull(head) { "the service response has no head frame" }
        var contentType: ContentType? = null
        head.headersList.forEach { (name, value) ->
            when {
                name.equals(HttpHeaders.ContentType, ignoreCase = true) -> contentType = ContentType.parse(value)
                name.lowercase() in NON_FORWARDED_HEADERS -> Unit
                else -> call.response.header(name, value)
            }
        }
        call.respondBytes(body.toByteArray(), contentType, HttpStatusCode.fromValue(head.status))
    }
}

private operator fun Header.component1(): String = name

private operator fun Header.component2(): String = value

/** Handles all paths that no other route matches. */
internal class ServiceRoutes(private val entry: EntryServices, private val keyed: IdempotencyKeyHandler) {
    private val state = entry.state

    fun install(route: Route) {
        route.route("/{path...}") { handle { serve(call) } }
    }

    private suspend fun serve(call: ApplicationCall) {
        val id = newRequestId()
        call.response.header(REQUEST_ID_HEADER, id.value)
        respondOnFailure(call, id) { serve(call, id) }
    }

    private suspend fun serve(call: ApplicationCall, id: RequestId) {
        val job = accept(call, id).getOrElse {
            entry.countRefusal("service", it)
            return call.respondProblem(it, id)
        }
        entry.traces.add(id, "accepted ${job.call.method} service=${job.service} workspace=${job.caller.workspace}")
        run(job).fold(
            success = { it.respond(call) },
            failure = { call.respondProblem(it, id) },
        )
    }

    private suspend fun accept(call: ApplicationCall, id: RequestId): Result<ServiceJob, Problem> {
        val start = state.control.now()
        val caller = state.authenticate(call).getOrElse { return Err(it) }
        val path = call.request.path()
        val service = caller.settings.serviceByPath(path)?.takeIf { it in caller.settings.servicesOf(caller.workspace) }
            ?: return Err(Problem(ProblemCode.NOT_FOUND, "nothing is served at $path"))
        val values = caller.settings.forService(caller.workspace, service, state.zone)
        val body = readLimitedBody(call, values).getOrElse { return Err(it) }
        val deadline = deadline(call, values, start).getOrElse { return Err(it) }
        val settings = checkNotNull(caller.settings.service(service))
        val method = call.request.httpMethod.value
        return Ok(
            ServiceJob(
                id = id,
                caller = caller,
                service = service,
                call = HttpCall.newBuilder()
                    .setService(service.value)
                    .setMethod(method)
                    .setPath(call.request.uri.removePrefix(settings.pathPrefix).ifEmpty { "/" })
                    .addAllHeaders(call.forwardedHeaders())
                    .setBody(ByteString.copyFrom(body))
                    .setIdempotent(method in SAFE_METHODS || method in settings.idempotentMethodsList)
                    .build(),
                key = call.request.header(IDEMPOTENCY_KEY_HEADER),
                values = values,
                start = start,
                deadline = deadline,
            ),
        )
    }

    private suspend fun run(job: ServiceJob): Result<BufferedResponse, Problem> {
        val result = entry.withAdmission(job.routing.set, job.context) {
            withTimeoutOrNull(job.deadline - state.control.now()) { dispatch(job) }
                ?: Err(entry.problem(entry.deadlinePassed(job.context)))
        }.fold(success = { it }, failure = { Err(it) })
        record(job, result.fold(success = { null }, failure = { it }))
        return result
    }

    private suspend fun dispatch(job: ServiceJob): Result<BufferedResponse, Problem> {
        if (job.key != null && !job.call.idempotent) return keyed.run(job, job.key)
        val reply = BufferedResponse()
        val end = entry.dispatcher.dispatch(job.context, job.routing, work = { call = job.call }, deliver = reply::add)
        return when (end) {
            is DispatchResult.Complete -> Ok(reply)
            is DispatchResult.Failed -> Err(entry.problem(end))
        }
    }

    private fun record(job: ServiceJob, problem: Problem?) {
        val latency = state.control.now() - job.start
        val late = latency.inWholeMilliseconds > job.values.firstTokenObjectiveMs
        val level = when {
            problem != null -> ServiceLevel.FAILED
            late -> ServiceLevel.LATE
            else -> ServiceLevel.ON_TIME
        }
        entry.burn.record(job.caller.workspace, level, latency)
        entry.countResult("service", problem)
        entry.traces.add(job.id, "answered: $level ${problem ?: ""}")
    }
}

private fun ApplicationCall.forwardedHeaders(): List<Header> = request.headers.entries()
    .filter { (name, _) -> name.lowercase() !in NON_FORWARDED_HEADERS }
    .flatMap { (name, values) -> values.map { Header.newBuilder().setName(name).setValue(it).build() } }
