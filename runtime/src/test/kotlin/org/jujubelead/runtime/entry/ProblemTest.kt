package org.jujubelead.runtime.entry

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ProblemTest {
    /** Guards against changes to codes, statuses and outcomes, on which callers base their retries. */
    @Test
    fun `codes, statuses and outcomes are stable`() {
        expectThat(ProblemCode.entries.map { "${it.text} ${it.status} ${it.outcome.text}" }).isEqualTo(
            listOf(
                "unauthorized 401 not-run",
                "not-found 404 not-run",
                "malformed-request 400 not-run",
                "body-too-large 413 not-run",
                "headers-too-large 431 not-run",
                "idempotency-key-reused 422 not-run",
                "over-share 429 not-run",
                "overloaded 503 not-run",
                "draining 503 not-run",
                "not-ready 503 not-run",
                "no-target 503 not-run",
                "claims-unavailable 503 not-run",
                "deadline-passed 504 not-run",
                "deadline-passed 504 unknown",
                "target-failed 502 unknown",
                "target-failed 502 not-run",
                "outcome-unknown 502 unknown",
                "answer-not-kept 409 unknown",
                "internal-error 500 unknown",
            ),
        )
    }

    /** Guards against missing or renamed fields, and against text that is not escaped in the JSON. */
    @Test
    fun `the body has the documented fields`() {
        val body = Json.parseToJsonElement(Problem(ProblemCode.NO_TARGET, "no \"m\"\n").toJson("r")).jsonObject
        expectThat(body.toMap()).isEqualTo(
            mapOf(
                "type" to JsonPrimitive("about:blank"),
                "title" to JsonPrimitive("no target"),
                "status" to JsonPrimitive(503),
                "code" to JsonPrimitive("no-target"),
                "detail" to JsonPrimitive("no \"m\"\n"),
                "request_id" to JsonPrimitive("r"),
                "outcome" to JsonPrimitive("not-run"),
            ),
        )
    }
}
