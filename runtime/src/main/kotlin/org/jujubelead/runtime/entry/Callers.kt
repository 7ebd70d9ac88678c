/** Shared code of the HTTP routes for callers: authentication, size limits, deadlines and error responses. */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.withCharset
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import org.jujubelead.core.ids.RequestId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.settings.EffectiveSettings
import org.jujubelead.settings.SettingsSnapshot
import java.io.IOException
import java.security.MessageDigest
import java.time.Clock
import java.time.Instant
import java.time.format.DateTimeParseException
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

internal const val REQUEST_ID_HEADER = "X-Request-Id"
internal const val DEADLINE_HEADER = "X-Request-Deadline"
internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
private const val BEARER = "Bearer "
private val PROBLEM_JSON = ContentType("application", "problem+json")

/** An authenticated caller, with the settings snapshot that applies to its request. */
internal class Caller(val workspace: WorkspaceId, val settings: SettingsSnapshot)

/** Authenticates the caller by its bearer token. */
internal fun EntryState.authenticate(call: ApplicationCall): Result<Caller, Problem> {
    val settings = settings ?: return Err(Problem(ProblemCode.NOT_READY, "no settings have been received yet"))
    if (draining) return Err(Problem(ProblemCode.DRAINING, "this instance is stopping; send the request again"))
    val token = call.request.header(HttpHeaders.Authorization)?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)
        ?: return Err(Problem(ProblemCode.UNAUTHORIZED, "a bearer token is required"))
    val workspace = settings.workspaceByTokenHash(sha256(token))
        ?: return Err(Problem(ProblemCode.UNAUTHORIZED, "the bearer token is not known"))
    return Ok(Caller(workspace = workspace, settings = settings))
}

/** Deadline of the request: the one set by the caller, limited by the request timeout in the settings. */
internal fun deadline(
    call: ApplicationCall,
    values: EffectiveSettings,
    now: Timestamp,
    clock: Clock = Clock.systemUTC(),
): Result<Timestamp, Problem> {
    val limit = now + values.requestTimeoutMs.milliseconds
    val text = call.request.header(DEADLINE_HEADER) ?: return Ok(limit)
    val remaining = try {
        java.time.Duration.between(clock.instant(), Instant.parse(text)).toMillis().milliseconds
    } catch (_: DateTimeParseException) {
        return Err(Problem(ProblemCode.MALFORMED, "$DEADLINE_HEADER \"$text\" is not an RFC 3339 instant"))
    }
    if (remaining <= Duration.ZERO) return Err(Problem(ProblemCode.DEADLINE_NOT_RUN, "the deadline $text has passed"))
    return Ok(minOf(limit, now + remaining))
}

/** Reads the body after checking the headers and the body against the size limits in the settings. */
internal suspend fun readLimitedBody(call: ApplicationCall, values: EffectiveSettings): Result<ByteArray, Problem> {
    val headerBytes = call.request.headers.entries().sumOf { (name, all) -> all.sumOf { name.length + it.length } }
    if (headerBytes > values.maxHeaderBytes) {
        return Err(
            Problem(
                ProblemCode.HEADERS_TOO_LARGE,
                "the headers have $headerBytes bytes, over ${values.maxHeaderBytes}",
            ),
        )
    }
    val contentLength = call.request.header(HttpHeaders.ContentLength)?.toLongOrNull() ?: 0
    val tooLarge = Problem(ProblemCode.BODY_TOO_LARGE, "the body has more than ${values.maxBodyBytes} bytes")
    if (contentLength > values.maxBodyBytes) return Err(tooLarge)
    val body = call.receiveChannel().readRemaining(values.maxBodyBytes + 1L).readByteArray()
    return if (body.size > values.maxBodyBytes) Err(tooLarge) else Ok(body)
}

/** Responds with a problem, and with a Retry-After header for statuses 429 and 503. */
internal suspend fun ApplicationCall.respondProblem(problem: Problem, request: RequestId) {
    if (problem.code.status == HttpStatusCode.TooManyRequests.value ||
        problem.code.status == HttpStatusCode.ServiceUnavailable.value
    ) {
        val seconds = problem.retryAfter.toLong(DurationUnit.SECONDS).coerceAtLeast(1)
        response.header(HttpHeaders.RetryAfter, seconds.toString())
    }
    respondText(
        text = problem.toJson(request.value),
        contentType = PROBLEM_JSON.withCharset(Charsets.UTF_8),
        status = HttpStatusCode.fromValue(problem.code.status),
    )
}

/** Runs [handle]. An unexpected exception is logged and answered with a problem, so that the caller gets an outcome. */
internal suspend fun respondOnFailure(call: ApplicationCall, request: RequestId, handle: suspend () -> Unit) {
    try {
        handle()
    } catch (e: CancellationException) {
        throw e
    } catch (e: IOException) {
        // The caller disconnected while its answer was being written.
        throw e
    } catch (e: Exception) {
        respondInternalError(call, request, e)
    }
}

/** Aborts an answer that has already started, so that the caller does not mistake it for a complete one. */
private suspend fun respondInternalError(call: ApplicationCall, request: RequestId, cause: Exception) {
    Event.REQUEST_FAILED.log("request=$request", cause)
    if (call.response.isCommitted) throw cause
    call.respondProblem(Problem(ProblemCode.INTERNAL, "the request failed inside this instance"), request)
}

internal fun newRequestId(): RequestId = RequestId(UUID.randomUUID().toString())

/** SHA-256 in lower-case hexadecimal. */
internal fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
