/**
 * A plain service that records every execution, with faults: `PUT /_control/service` sets them, `GET /_executions`
 * lists the executions in order.
 *
 * The answer names the execution and repeats the body, so that a caller can tell whose answer it got.
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
 * Faults as the control interface takes them. Probabilities apply to each call.
 *
 * @property delayMs time between the execution and the answer.
 * @property failAfterRunning probability of status 500 although the call ran.
 * @property cutAfterRunning probability of a cut answer although the call ran.
 * @property hangs probability that no answer ever comes although the call ran.
 */
@Serializable
public data class ServiceFaultBody(
    val delayMs: Long = 0,
    val failAfterRunning: Double = 0.0,
    val cutAfterRunning: Double = 0.0,
    val hangs: Double = 0.0,
)

/** One execution, as recorded before its answer is sent. */
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

/** The answer to an executed call. */
@Serializable
public data class ServiceAnswerBody(
    val service: String,
    val sequence: Int,
    val requestId: String? = null,
    val path: String,
    val body: String,
)

/** The HTTP interface. */
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
        val now = faults
        val draw = synchronized(random) { random.nextDouble() }
        delay(now.delayMs.milliseconds)
        when {
            draw < now.hangs -> awaitCancellation()

            draw < now.hangs + now.cutAfterRunning -> call.respond(CutContent("{".encodeToByteArray()))

            draw < now.hangs + now.cutAfterRunning + now.failAfterRunning ->
                call.respondText("failed after running", status = HttpStatusCode.InternalServerError)

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
