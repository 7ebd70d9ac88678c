/**
 * Simulated HTTP service that records every execution. `PUT /_control/service` sets faults, `GET /_executions` returns
 * the executions in order.
 *
 * The response contains the execution and the request body, so that a caller can detect a response to another request.
 */
package org.jujubelead.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Faults, as set through the control interface. Probabilities apply to each call.
 *
 * @property delayMs delay between the execution and the response.
 * @property failAfterRunning probability of status 500 although the call was executed.
 * @property cutAfterRunning probability of a truncated response although the call was executed.
 * @property hangs probability that the response is never sent although the call was executed.
 */
@Serializable
public data class ServiceFaultBody(
    val delayMs: Long = 0,
    val failAfterRunning: Double = 0.0,
    val cutAfterRunning: Double = 0.0,
    val hangs: Double = 0.0,
)

/** One execution; recorded before the response is sent. */
@Serializable
public data class ExecutionBody(
    val service: String,
    val sequence: Int,
    val method: String,
    val path: String,
    val requestId: String? = null,
    val idempotencyKey: String? = null,
    val body: String = "",
    val atMillis: Long = 0,
)

/** Response to an executed call. */
@Serializable
public data class ServiceAnswerBody(
    val service: String,
    val sequence: Int,
    val requestId: String? = null,
    val path: String,
    val body: String,
)

/** The HTTP interface of the service [name]. */
public class ServiceHttp(
    private val name: String,
    seed: Long = 1,
    private val journal: Journal = Journal(),
) : HttpModule {
    private val executions = ArrayList<ExecutionBody>()
    private val random = Random(seed)

    @Volatile
    private var faults = ServiceFaultBody()

    override fun install(route: Route) {
        with(route) {
            control("/_control/service", read = { faults }, write = { faults = it })
            get("/_executions") {
                val skip = call.parameter("skip")?.toInt() ?: 0
                call.respondJson(synchronized(executions) { executions.drop(skip) })
            }
            route("{path...}") { handle { serve(call) } }
        }
    }

    private suspend fun serve(call: ApplicationCall) {
        val body = call.bodyBytes().decodeToString()
        val execution = record(call, body)
        val active = faults
        val draw = synchronized(random) { random.nextDouble() }
        delay(active.delayMs.milliseconds)
        when {
            draw < active.hangs -> awaitCancellation()

            draw < active.hangs + active.cutAfterRunning -> call.respond(TruncatedContent("{".encodeToByteArray()))

            draw < active.hangs + active.cutAfterRunning + active.failAfterRunning ->
                call.respondText("injected: failed after the execution", status = HttpStatusCode.InternalServerError)

            else -> call.respondJson(
                ServiceAnswerBody(
                    service = name,
                    sequence = execution.sequence,
                    requestId = execution.requestId,
                    path = execution.path,
                    body = body,
                ),
            )
        }
    }

    private fun record(call: ApplicationCall, body: String): ExecutionBody = synchronized(executions) {
        val execution = ExecutionBody(
            service = name,
            sequence = executions.size,
            method = call.request.httpMethod.value,
            path = call.request.uri,
            requestId = call.request.headers["X-Request-Id"],
            idempotencyKey = call.request.headers["Idempotency-Key"],
            body = body,
            atMillis = System.currentTimeMillis(),
        )
        executions += execution
        journal.append(wireJson.encodeToString(execution))
        execution
    }
}
