/**
 * Error responses to callers, as `application/problem+json`.
 *
 * Each has a stable code and an outcome: `not-run` means that the request did not run and never will, `unknown` that it
 * may have run.
 */
package org.jujubelead.runtime.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a failed request may have run. */
public enum class Outcome(public val text: String) {
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
}

/** Stable problem codes with their HTTP status and outcome. */
public enum class ProblemCode(public val text: String, public val status: Int, public val outcome: Outcome) {
    UNAUTHORIZED("unauthorized", 401, Outcome.NOT_RUN),
    NOT_FOUND("not-found", 404, Outcome.NOT_RUN),
    MALFORMED("malformed-request", 400, Outcome.NOT_RUN),
    BODY_TOO_LARGE("body-too-large", 413, Outcome.NOT_RUN),
    HEADERS_TOO_LARGE("headers-too-large", 431, Outcome.NOT_RUN),
    KEY_REUSED("idempotency-key-reused", 422, Outcome.NOT_RUN),
    OVER_SHARE("over-share", 429, Outcome.NOT_RUN),
    OVERLOADED("overloaded", 503, Outcome.NOT_RUN),
    DRAINING("draining", 503, Outcome.NOT_RUN),
    NOT_READY("not-ready", 503, Outcome.NOT_RUN),
    NO_TARGET("no-target", 503, Outcome.NOT_RUN),
    CLAIMS_UNAVAILABLE("claims-unavailable", 503, Outcome.NOT_RUN),
    DEADLINE_NOT_RUN("deadline-passed", 504, Outcome.NOT_RUN),
    DEADLINE_UNKNOWN("deadline-passed", 504, Outcome.UNKNOWN),
    TARGET_FAILED("target-failed", 502, Outcome.UNKNOWN),
    TARGET_FAILED_NOT_RUN("target-failed", 502, Outcome.NOT_RUN),
    OUTCOME_UNKNOWN("outcome-unknown", 502, Outcome.UNKNOWN),
    ANSWER_NOT_KEPT("answer-not-kept", 409, Outcome.UNKNOWN),
    INTERNAL("internal-error", 500, Outcome.UNKNOWN),
}

/** An error response. [retryAfter] is sent with statuses 429 and 503. */
public data class Problem(
    val code: ProblemCode,
    val detail: String,
    val retryAfter: Duration = DEFAULT_RETRY_AFTER,
) {
    /** Encodes the response body. */
    public fun toJson(requestId: String): String = Json.encodeToString(
        ProblemBody.serializer(),
        ProblemBody(
            type = "about:blank",
            title = code.text.replace('-', ' '),
            status = code.status,
            code = code.text,
            detail = detail,
            requestId = requestId,
            outcome = code.outcome.text,
        ),
    )

    public companion object {
        public val DEFAULT_RETRY_AFTER: Duration = 1.seconds
    }
}

@Serializable
internal data class ProblemBody(
    val type: String,
    val title: String,
    val status: Int,
    val code: String,
    val detail: String,
    @SerialName("request_id") val requestId: String,
    val outcome: String,
)
