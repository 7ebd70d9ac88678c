/** HTTP interface of [EngineService]. `PUT /_control/engine` sets faults, `GET /_control/counts` counts streams. */
package org.jujubelead.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.ModelId
import org.jujubelead.platform.GenerateBody
import org.jujubelead.platform.GenerateLine
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.platform.GenerationRequest
import org.jujubelead.platform.LoadBody
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Interval of the empty lines that detect a closed connection, also while the request is queued. */
private val keepAliveInterval = 200.milliseconds

public class EngineHttp(private val service: EngineService) : HttpModule {
    override fun install(route: Route) {
        with(route) {
            post("/v1/generate") { generate() }
            get("/v1/load") {
                val load = service.load()
                call.respondJson(
                    LoadBody(running = load.running, waiting = load.waiting, capacity = load.capacity),
                )
            }
            installControl()
            control("/_control/engine", read = { service.faults }, write = { service.faults = it })
            get("/_executions") { call.respondJson(service.starts(call.parameter("skip")?.toInt() ?: 0)) }
            get("/_control/counts") { call.respondJson(service.counts()) }
        }
    }

    private fun Route.installControl() {
        put("/v1/model") {
            val fence = Fence(call.required("fence").toLong())
            respondAccepted(service.loadModel(ModelId(call.required("model")), fence))
        }
        get("/v1/cache") {
            val cache = service.exportCache(AttemptId(call.required("attempt")))
            if (cache == null) call.respond(HttpStatusCode.NotFound) else call.respondJson(cache)
        }
        put("/v1/cache") { respondAccepted(service.importCache(call.bodyJson())) }
        get("/v1/cache-events") { call.respondJson(service.cacheEvents(call.required("after").toLong())) }
    }

    private suspend fun RoutingContext.respondAccepted(accepted: Boolean): Unit =
        call.respond(if (accepted) HttpStatusCode.NoContent else HttpStatusCode.Conflict)

    private suspend fun RoutingContext.generate() {
        val body = call.bodyJson<GenerateBody>()
        if (!service.serves(ModelId(body.model))) {
            val detail = "the model \"${body.model}\" is not loaded"
            call.respondText(detail, status = HttpStatusCode.NotFound)
            return
        }
        call.respondBytesWriter(ContentType.parse("application/x-ndjson")) { stream(this, body.toRequest()) }
    }

    private suspend fun stream(out: ByteWriteChannel, request: GenerationRequest): Unit = coroutineScope {
        val lock = Mutex()
        val keepAlive = launch {
            while (true) {
                delay(keepAliveInterval)
                lock.withLock { out.line("") }
            }
        }
        service.generate(request).collect { event ->
            if (event is GenerationEvent.Failed) throw IOException("injected: the stream is interrupted")
            lock.withLock { out.line(wireJson.encodeToString(event.toLine())) }
        }
        keepAlive.cancel()
    }

    private suspend fun ByteWriteChannel.line(text: String) {
        writeStringUtf8(text + "\n")
        flush()
    }

    private fun GenerationEvent.toLine(): GenerateLine = when (this) {
        is GenerationEvent.Token -> GenerateLine(position = position, text = text)
        is GenerationEvent.Done -> GenerateLine(tokens = tokens, reason = reason)
        is GenerationEvent.Failed -> GenerateLine(error = error.toString())
    }

    private fun GenerateBody.toRequest() = GenerationRequest(
        attempt = AttemptId(attempt),
        model = ModelId(model),
        prompt = prompt,
        maxTokens = maxTokens,
        seed = seed,
        priority = priority,
        delivered = delivered,
    )
}
