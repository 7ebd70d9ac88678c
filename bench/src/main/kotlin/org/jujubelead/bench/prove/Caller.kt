/** Calls as a caller makes them, recorded with all that came back. */
package org.jujubelead.bench.prove

import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive
import org.jujubelead.platform.sharedHttpEngine
import java.net.ConnectException
import java.time.Instant

private const val GIVE_UP_MS = 15_000L
private const val DATA = "data: "

/** What to call. [deadlineMs] is the time limit that the caller asks for. */
internal data class PlannedCall(
    val subject: String,
    val kind: CallKind,
    val entry: Member,
    val seed: Long,
    val maxTokens: Int,
    val deadlineMs: Long,
)

/** A caller of the system. Thread-safe. */
internal class Caller {
    private val client = HttpClient(sharedHttpEngine) { expectSuccess = false }

    /** What came so far of an answer that can still break. */
    private class Partial {
        var status = 0
        var requestId: String? = null
        val frames = ArrayList<String>()
        var complete = false
        var outcome: String? = null
        var code: String? = null
        var error: String? = null
    }

    /** Makes the call; never throws for failures of the system. */
    suspend fun call(plan: PlannedCall): CallRecord {
        val start = System.currentTimeMillis()
        val partial = Partial()
        var connected = true
        try {
            withTimeoutOrNull(GIVE_UP_MS) { send(plan, partial) }
                ?: run { partial.error = "no end within $GIVE_UP_MS ms" }
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            partial.error = "$e"
        } catch (e: ConnectException) {
            connected = false
            partial.error = "$e"
        } catch (e: Exception) {
            partial.error = "$e"
        }
        return CallRecord(
            subject = plan.subject,
            kind = plan.kind,
            entry = plan.entry.instance,
            startMillis = start,
            endMillis = System.currentTimeMillis(),
            seed = plan.seed,
            maxTokens = plan.maxTokens,
            status = partial.status,
            complete = partial.complete,
            text = partial.frames.joinToString(""),
            frames = partial.frames,
            connected = connected,
            outcome = partial.outcome,
            code = partial.code,
            requestId = partial.requestId,
            error = partial.error,
        )
    }

    private suspend fun send(plan: PlannedCall, partial: Partial) {
        client.prepareRequest("http://127.0.0.1:${plan.entry.httpPort}${path(plan)}") {
            header("Authorization", "Bearer $CALLER_TOKEN")
            header("X-Request-Deadline", Instant.now().plusMillis(plan.deadlineMs).toString())
            fill(plan)
        }.execute { response ->
            partial.status = response.status.value
            partial.requestId = response.headers["X-Request-Id"]
            when {
                partial.status != Http.OK -> readProblem(response, partial)
                plan.kind == CallKind.CHAT_STREAM -> readStream(response, partial)
                else -> readWhole(plan, response, partial)
            }
        }
    }

    private fun path(plan: PlannedCall) = when (plan.kind) {
        CallKind.CHAT_STREAM, CallKind.CHAT_WHOLE -> "/v1/chat/completions"
        CallKind.GET -> "/booking${lookupPath(plan.subject)}"
        CallKind.POST, CallKind.KEYED_POST -> "/booking/reservations"
    }

    private fun HttpRequestBuilder.fill(plan: PlannedCall) {
        method = if (plan.kind == CallKind.GET) HttpMethod.Get else HttpMethod.Post
        when (plan.kind) {
            CallKind.GET -> Unit

            CallKind.POST -> setBody(plan.subject)

            CallKind.KEYED_POST -> {
                header("Idempotency-Key", "key-${plan.subject}")
                setBody(plan.subject)
            }

            else -> setBody(
                """{"model":"chat","messages":[{"role":"user","content":"${plan.subject}"}],""" +
                    """"stream":${plan.kind == CallKind.CHAT_STREAM},""" +
                    """"max_tokens":${plan.maxTokens},"seed":${plan.seed}}""",
            )
        }
    }

    private suspend fun readProblem(response: HttpResponse, partial: Partial) {
        val text = response.bodyAsText()
        partial.error = text
        problem(text, partial)
    }

    private fun problem(text: String, partial: Partial) {
        val body = runCatching { Json.parseToJsonElement(text) }.getOrNull()
        partial.outcome = body.at("outcome").text()
        partial.code = body.at("code").text()
    }

    private suspend fun readWhole(plan: PlannedCall, response: HttpResponse, partial: Partial) {
        val body = Json.parseToJsonElement(response.bodyAsText())
        val text = when (plan.kind) {
            CallKind.CHAT_WHOLE -> body.at("choices").at(0).at("message").at("content").text()
            CallKind.GET -> body.at("path").text()
            else -> body.at("body").text()
        }
        partial.frames += text.orEmpty()
        partial.complete = true
    }

    private suspend fun readStream(response: HttpResponse, partial: Partial) {
        val channel = response.bodyAsChannel()
        var isError = false
        while (true) {
            val line = channel.readUTF8Line() ?: break
            when {
                line == "event: error" -> isError = true

                line == "data: [DONE]" -> partial.complete = true

                !line.startsWith(DATA) -> Unit

                isError -> {
                    partial.error = line
                    problem(line.removePrefix(DATA), partial)
                }

                else -> Json.parseToJsonElement(line.removePrefix(DATA))
                    .at("choices").at(0).at("delta").at("content").text()?.let { partial.frames += it }
            }
        }
        if (partial.error != null) partial.complete = false
    }
}

private fun JsonElement?.at(name: String): JsonElement? = (this as? JsonObject)?.get(name)

private fun JsonElement?.at(index: Int): JsonElement? = (this as? JsonArray)?.getOrNull(index)

private fun JsonElement?.text(): String? = this?.jsonPrimitive?.contentOrNull
