/** Runs the work of an attempt on the target of this agent and writes the answer as frames. */
package org.jujubelead.runtime.agent

import com.github.michaelbull.result.fold
import com.google.protobuf.ByteString
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.jujubelead.core.ids.ModelId
import org.jujubelead.platform.EngineError
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.platform.GenerationRequest
import org.jujubelead.platform.HeaderLine
import org.jujubelead.platform.ModelEngine
import org.jujubelead.platform.ServiceClient
import org.jujubelead.platform.ServiceError
import org.jujubelead.platform.ServiceRequest
import org.jujubelead.platform.ServiceResponse
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Header
import org.jujubelead.protocol.HttpCall
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.runtime.telemetry.Event

/** Maximum body bytes per frame. */
private const val BODY_FRAME_BYTES = 64 * 1024

/** The target of an agent. */
public sealed interface TargetRunner {
    /** Runs the attempt to its end. Always closes the stream. */
    public suspend fun run(request: ExecuteRequest, stream: AttemptStream, state: AgentState)

    /** A model engine. */
    public class Model(private val engine: ModelEngine) : TargetRunner {
        override suspend fun run(request: ExecuteRequest, stream: AttemptStream, state: AgentState): Unit =
            runHandedOver(stream, state) {
                if (!request.hasGeneration()) return@runHandedOver refuseUnsupportedWork(stream, state)
                engine.generate(request.toGeneration(stream)).collect { event ->
                    when (event) {
                        is GenerationEvent.Token -> stream.append {
                            tokenBuilder.setPosition(event.position).setText(event.text)
                        }

                        is GenerationEvent.Done -> stream.end(event.reason)

                        is GenerationEvent.Failed -> refuseEngine(event.error, stream, state)
                    }
                }
            }

        private suspend fun refuseEngine(error: EngineError, stream: AttemptStream, state: AgentState) {
            Event.TARGET_FAILED.log("attempt=${stream.attempt} error=$error")
            when (error) {
                is EngineError.Unreachable -> refuseNotStarted(
                    stream,
                    state,
                    RefusalReason.TARGET_UNREACHABLE,
                    error.detail,
                )

                is EngineError.Refused -> refuseNotStarted(stream, state, RefusalReason.TARGET_FAILED, error.detail)

                is EngineError.Interrupted ->
                    stream.refuse(RefusalReason.TARGET_FAILED, notRun = false, detail = error.detail)
            }
        }
    }

    /** An HTTP service. */
    public class Service(private val service: ServiceClient) : TargetRunner {
        override suspend fun run(request: ExecuteRequest, stream: AttemptStream, state: AgentState): Unit =
            runHandedOver(stream, state) {
                if (!request.hasCall()) return@runHandedOver refuseUnsupportedWork(stream, state)
                service.call(request.call.toServiceRequest(request)).fold(
                    success = { reply -> stream.appendReply(reply) },
                    failure = { error -> refuseService(error, stream, state) },
                )
            }

        private suspend fun refuseService(error: ServiceError, stream: AttemptStream, state: AgentState) {
            Event.TARGET_FAILED.log("attempt=${stream.attempt} error=$error")
            when (error) {
                is ServiceError.Unreachable -> refuseNotStarted(
                    stream,
                    state,
                    RefusalReason.TARGET_UNREACHABLE,
                    error.detail,
                )

                is ServiceError.NoResponse ->
                    stream.refuse(RefusalReason.TARGET_FAILED, notRun = false, detail = error.detail)
            }
        }
    }
}

private suspend fun runHandedOver(stream: AttemptStream, state: AgentState, work: suspend () -> Unit) {
    val attempt = stream.attempt
    try {
        if (!state.handOver(attempt)) {
            stream.refuse(RefusalReason.CANCELLED, notRun = true, detail = "cancelled or late before hand-over")
            return
        }
        work()
        if (!stream.isClosed) {
            stream.refuse(RefusalReason.TARGET_FAILED, notRun = false, detail = "the target sent no end")
        }
    } catch (e: CancellationException) {
        stream.refuse(RefusalReason.CANCELLED, notRun = false, detail = "cancelled")
        throw e
    } catch (e: Exception) {
        Event.TARGET_FAILED.log("attempt=$attempt", e)
        stream.refuse(RefusalReason.TARGET_FAILED, notRun = false, detail = e.message.orEmpty())
    } finally {
        withContext(NonCancellable) { state.finished(attempt) }
    }
}

private suspend fun refuseNotStarted(stream: AttemptStream, state: AgentState, reason: RefusalReason, detail: String) {
    val notRun = state.handOverFailed(stream.attempt)
    stream.refuse(reason, notRun = notRun, detail = detail)
}

private suspend fun refuseUnsupportedWork(stream: AttemptStream, state: AgentState) =
    refuseNotStarted(
        stream,
        state,
        RefusalReason.MALFORMED,
        "the target beside this agent does not take this kind of work",
    )

private fun ExecuteRequest.toGeneration(stream: AttemptStream) = GenerationRequest(
    attempt = stream.attempt,
    model = ModelId(generation.model),
    prompt = generation.prompt,
    maxTokens = generation.maxTokens,
    seed = generation.seed,
    priority = priority,
    delivered = generation.deliveredList,
)

private fun HttpCall.toServiceRequest(request: ExecuteRequest) = ServiceRequest(
    method = method,
    path = path,
    headers = headersList.map { HeaderLine(name = it.name, value = it.value) } +
        HeaderLine(name = "X-Request-Id", value = request.requestId),
    body = body.toByteArray(),
)

private suspend fun AttemptStream.appendReply(reply: ServiceResponse) {
    append {
        headBuilder.setStatus(reply.status)
            .addAllHeaders(reply.headers.map { Header.newBuilder().setName(it.name).setValue(it.value).build() })
    }
    for (start in reply.body.indices step BODY_FRAME_BYTES) {
        val length = minOf(BODY_FRAME_BYTES, reply.body.size - start)
        append { body = ByteString.copyFrom(reply.body, start, length) }
    }
    end("complete")
}
