/** HTTP routes of the chat completions API. */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.ktor.http.CacheControl
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.cacheControl
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.jujubelead.core.ids.ModelId
import org.jujubelead.core.ids.RequestId
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.routing.PrefixHashes
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.core.stream.TokenSequence
import org.jujubelead.core.stream.TokenVerdict
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Generation
import org.jujubelead.runtime.telemetry.ServiceLevel
import org.jujubelead.settings.EffectiveSettings
import org.jujubelead.settings.SettingsScope
import java.time.Instant
import kotlin.random.Random

private const val DEFAULT_MAX_TOKENS = 256

/** Tokens buffered for a slow caller. Once the buffer is full, backpressure reaches the agent and the engine. */
private const val TOKEN_BUFFER_SIZE = 16

/** Approximate characters per token, used to report the prompt tokens. */
private const val CHARACTERS_PER_TOKEN = 4

/** An accepted model request. */
internal class ChatJob(
    val id: RequestId,
    val caller: Caller,
    val request: ChatRequest,
    val values: EffectiveSettings,
    val start: Timestamp,
    val deadline: Timestamp,
)

/** Event from the dispatch coroutine to the response writer. */
internal sealed interface ChatEvent {
    data class Token(val text: String) : ChatEvent

    data class Done(val reason: String) : ChatEvent

    data class Failed(val problem: Problem) : ChatEvent
}

/** Serves `/v1`. */
internal class ChatRoutes(private val entry: EntryServices) {
    private val state = entry.state

    fun install(route: Route) {
        route.get("/v1/models") { listModels(call) }
        route.post("/v1/chat/completions") { complete(call) }
    }

    private suspend fun listModels(call: ApplicationCall) {
        val caller = state.authenticate(call).getOrElse { return call.respondProblem(it, newRequestId()) }
        val list = ModelList(data = caller.settings.modelsOf(caller.workspace).map { ModelEntry(id = it.value) })
        call.respondText(chatJson.encodeToString(ModelList.serializer(), list), ContentType.Application.Json)
    }

    private suspend fun complete(call: ApplicationCall) {
        val id = newRequestId()
        call.response.header(REQUEST_ID_HEADER, id.value)
        respondOnFailure(call, id) { complete(call, id) }
    }

    private suspend fun complete(call: ApplicationCall, id: RequestId) {
        val job = accept(call, id).getOrElse {
            entry.countRefusal("model", it)
            return call.respondProblem(it, id)
        }
        entry.traces.add(id, "accepted model=${job.request.model} workspace=${job.caller.workspace}")
        coroutineScope {
            val events = run(job)
            if (job.request.stream) respondStream(call, job, events) else respondWhole(call, job, events)
            events.cancel()
        }
    }

    private suspend fun accept(call: ApplicationCall, id: RequestId): Result<ChatJob, Problem> {
        val start = state.control.now()
        val caller = state.authenticate(call).getOrElse { return Err(it) }
        val defaults = caller.settings.forScope(workspaceScope(caller))
        val body = readLimitedBody(call, defaults).getOrElse { return Err(it) }
        val request = try {
            chatJson.decodeFromString(ChatRequest.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            return Err(Problem(ProblemCode.MALFORMED, e.message?.lineSequence()?.first().orEmpty()))
        }
        val model = ModelId(request.model)
        if (model !in caller.settings.modelsOf(caller.workspace)) {
            return Err(Problem(ProblemCode.NOT_FOUND, "the model \"${request.model}\" does not exist"))
        }
        val values = caller.settings.forModel(caller.workspace, model, state.zone)
        val deadline = deadline(call, values, start).getOrElse { return Err(it) }
        return Ok(
            ChatJob(id = id, caller = caller, request = request, values = values, start = start, deadline = deadline),
        )
    }

    private fun workspaceScope(caller: Caller) =
        SettingsScope(zone = state.zone, workspace = caller.workspace)

    /** Runs the request. The last event in the channel is [ChatEvent.Done] or [ChatEvent.Failed]. */
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun CoroutineScope.run(job: ChatJob): ReceiveChannel<ChatEvent> = produce(capacity = TOKEN_BUFFER_SIZE) {
        val timer = StreamTimer(start = job.start, values = job.values)
        val last = generate(job) { text ->
            timer.recordToken(state.control.now())
            send(ChatEvent.Token(text))
        }
        record(job, timer, last)
        send(last)
    }

    private suspend fun generate(job: ChatJob, emit: suspend (String) -> Unit): ChatEvent {
        val model = job.request.model
        val prompt = job.request.prompt()
        val tokens = TokenSequence()
        val seed = job.request.seed ?: Random.nextLong()
        val context = job.context()
        val routing = RoutingRequest(
            set = TargetSetId(kind = TargetKind.MODEL, serves = model),
            prefixes = PrefixHashes.of(prompt),
            workUnits = prompt.length / PrefixHashes.BLOCK_CHARACTERS + 1,
        )
        val end = entry.withAdmission(routing.set, context) {
            withTimeoutOrNull(job.deadline - state.control.now()) {
                entry.dispatcher.dispatch(
                    context = context,
                    routing = routing,
                    work = { generation = job.generation(prompt, seed, tokens.delivered) },
                    deliver = { frame ->
                        if (frame.contentCase == Frame.ContentCase.TOKEN) {
                            when (tokens.accept(frame.token.position, frame.token.text)) {
                                TokenVerdict.DELIVER -> emit(frame.token.text)

                                TokenVerdict.DUPLICATE -> Unit

                                TokenVerdict.GAP -> error(
                                    "token gap: received ${frame.token.position}, expected ${tokens.delivered.size}",
                                )
                            }
                        }
                    },
                )
            } ?: entry.deadlinePassed(context)
        }
        return end.fold(
            success = {
                when (it) {
                    is DispatchResult.Complete -> ChatEvent.Done(it.finishReason)
                    is DispatchResult.Failed -> ChatEvent.Failed(entry.problem(it))
                }
            },
            failure = { ChatEvent.Failed(it) },
        )
    }

    private fun ChatJob.context() = DispatchContext(
        request = id,
        workspace = caller.workspace,
        deadline = deadline,
        idempotent = true,
        priority = values.priority,
    )

    private fun ChatJob.generation(prompt: String, seed: Long, delivered: List<String>): Generation =
        Generation.newBuilder()
            .setModel(request.model)
            .setPrompt(prompt)
            .setMaxTokens(request.maxCompletionTokens ?: request.maxTokens ?: DEFAULT_MAX_TOKENS)
            .setSeed(seed)
            .addAllDelivered(delivered)
            .build()

    private fun record(job: ChatJob, timer: StreamTimer, last: ChatEvent) {
        val level = if (last is ChatEvent.Failed) ServiceLevel.FAILED else timer.level()
        val latency = timer.firstToken ?: (state.control.now() - job.start)
        entry.burn.record(job.caller.workspace, level, latency)
        entry.countResult("model", (last as? ChatEvent.Failed)?.problem)
        entry.traces.add(job.id, "answered: $level $last")
    }

    private suspend fun respondWhole(call: ApplicationCall, job: ChatJob, events: ReceiveChannel<ChatEvent>) {
        val text = StringBuilder()
        var tokens = 0
        for (event in events) {
            when (event) {
                is ChatEvent.Token -> {
                    text.append(event.text)
                    tokens += 1
                }

                is ChatEvent.Failed -> return call.respondProblem(event.problem, job.id)

                is ChatEvent.Done -> {
                    val answer = job.answer(text.toString(), tokens, event.reason)
                    val body = chatJson.encodeToString(ChatAnswer.serializer(), answer)
                    return call.respondText(body, ContentType.Application.Json)
                }
            }
        }
    }

    private suspend fun respondStream(call: ApplicationCall, job: ChatJob, events: ReceiveChannel<ChatEvent>) {
        val first = events.receive()
        if (first is ChatEvent.Failed) return call.respondProblem(first.problem, job.id)
        call.response.cacheControl(CacheControl.NoCache(null))
        call.respondBytesWriter(ContentType.Text.EventStream) {
            writeEvent(job, first)
            for (event in events) writeEvent(job, event)
        }
    }

    private suspend fun ByteWriteChannel.writeEvent(job: ChatJob, event: ChatEvent) {
        when (event) {
            is ChatEvent.Token -> writeData(job.chunk(ChatDelta(content = event.text)))

            is ChatEvent.Done -> {
                writeData(job.chunk(ChatDelta(), finishReason = event.reason))
                writeStringUtf8("data: [DONE]\n\n")
            }

            // The status line has been sent, so the error event and the missing [DONE] tell the caller that the answer
            // is incomplete.
            is ChatEvent.Failed -> writeStringUtf8("event: error\ndata: ${event.problem.toJson(job.id.value)}\n\n")
        }
        flush()
    }

    private suspend fun ByteWriteChannel.writeData(chunk: ChatChunk) {
        writeStringUtf8("data: ${chatJson.encodeToString(ChatChunk.serializer(), chunk)}\n\n")
    }
}

private fun ChatJob.chunk(delta: ChatDelta, finishReason: String? = null) = ChatChunk(
    id = id.value,
    created = Instant.now().epochSecond,
    model = request.model,
    choices = listOf(ChunkChoice(index = 0, delta = delta, finishReason = finishReason)),
)

private fun ChatJob.answer(text: String, tokens: Int, reason: String): ChatAnswer {
    val promptTokens = request.prompt().length / CHARACTERS_PER_TOKEN
    return ChatAnswer(
        id = id.value,
        created = Instant.now().epochSecond,
        model = request.model,
        choices = listOf(
            AnswerChoice(index = 0, message = ChatMessage(role = "assistant", content = text), finishReason = reason),
        ),
        usage = Usage(promptTokens = promptTokens, completionTokens = tokens, totalTokens = promptTokens + tokens),
    )
}
