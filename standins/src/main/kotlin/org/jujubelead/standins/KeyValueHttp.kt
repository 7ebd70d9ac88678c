/**
 * HTTP interface of [KeyValueService]. `PUT /_control/kv` sets faults, `GET /_control/counts` returns call counts.
 */
package org.jujubelead.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Faults, as set through the control interface. */
@Serializable
public data class KeyValueFaultBody(
    val outage: Boolean = false,
    val latencyMs: Long = 2,
    val lostAnswers: Double = 0.0,
    val lateWrites: Double = 0.0,
    val lateByMs: Long = 500,
)

/** The HTTP interface. A lost response is, at random, a closed connection or a request that never completes. */
public class KeyValueHttp(private val service: KeyValueService, seed: Long = 1) : HttpModule {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val faults = KeyValueFaults()
    private val random = Random(seed)
    private val store = InMemoryKeyValueStore(
        service = service,
        nowMillis = System::currentTimeMillis,
        faults = faults,
        random = Random(seed),
        runLater = { after, action ->
            scope.launch {
                delay(after)
                action()
            }
        },
    )

    @Volatile
    private var current = KeyValueFaultBody()

    override fun install(route: Route) {
        with(route) {
            installValues()
            put("/v1/lease") {
                val ttl = call.required("ttl_ms").toLong().milliseconds
                val result = store.acquireLease(call.required("name"), call.required("holder"), ttl)
                call.respondResult(result) {
                    call.response.header(HttpKeyValueStore.FENCE_HEADER, it.fence.value)
                    call.respond(HttpStatusCode.OK)
                }
            }
            delete("/v1/lease") {
                val result = store.releaseLease(call.required("name"), call.required("holder"))
                call.respondResult(result) { call.respond(HttpStatusCode.OK) }
            }
            control("/_control/kv", read = { current }, write = ::setFaults)
            get("/_control/counts") { call.respondJson(service.counts()) }
        }
    }

    private fun Route.installValues() {
        get("/v1/value") { call.respondResult(store.get(call.required("key"))) { call.respondValue(it) } }
        put("/v1/value") {
            val bytes = call.bodyBytes()
            if (bytes.size > KeyValueStore.MAX_VALUE_BYTES) {
                call.respondText("the value is larger than 1 MB", status = HttpStatusCode.PayloadTooLarge)
            } else {
                val expected = call.parameter("expected")?.let { Version(it.toLong()) }
                val operation = OperationId(call.required("operation"))
                call.respondResult(store.compareAndSet(call.required("key"), expected, bytes, operation)) {
                    call.response.header(HttpKeyValueStore.VERSION_HEADER, it.value)
                    call.respond(HttpStatusCode.OK)
                }
            }
        }
        delete("/v1/value") {
            call.respondResult(store.delete(call.required("key"))) { call.respond(HttpStatusCode.OK) }
        }
        get("/v1/keys") {
            call.respondResult(store.list(call.required("prefix"))) { call.respondText(it.joinToString("\n")) }
        }
        get("/v1/watch") {
            val after = call.parameter("after")?.let { Version(it.toLong()) }
            val wait = call.required("wait_ms").toLong().milliseconds
            call.respondResult(store.watch(call.required("key"), after, wait)) { call.respondValue(it) }
        }
    }

    private fun setFaults(body: KeyValueFaultBody) {
        current = body
        faults.reachable = !body.outage
        faults.latency = body.latencyMs.milliseconds
        faults.lostAnswers = body.lostAnswers
        faults.lateWrites = body.lateWrites
        faults.lateWriteDelay = body.lateByMs.milliseconds
    }

    private suspend fun <T> ApplicationCall.respondResult(
        result: Result<T, KeyValueError>,
        success: suspend (T) -> Unit,
    ) {
        result.fold({ success(it) }, { respondError(it) })
    }

    private suspend fun ApplicationCall.respondValue(value: VersionedValue?) {
        if (value == null) return respond(HttpStatusCode.NoContent)
        response.header(HttpKeyValueStore.VERSION_HEADER, value.version.value)
        respondBytes(value.bytes)
    }

    private suspend fun ApplicationCall.respondError(error: KeyValueError): Unit = when (error) {
        is KeyValueError.Conflict -> {
            error.current?.let { response.header(HttpKeyValueStore.VERSION_HEADER, it.version.value) }
            respondBytes(error.current?.bytes ?: ByteArray(0), status = HttpStatusCode.Conflict)
        }

        is KeyValueError.Unavailable -> respondText(error.detail, status = HttpStatusCode.ServiceUnavailable)

        KeyValueError.RateLimited -> respond(HttpStatusCode.TooManyRequests)

        is KeyValueError.OutcomeUnknown ->
            if (random.nextBoolean()) awaitCancellation() else respond(TruncatedContent())
    }
}
