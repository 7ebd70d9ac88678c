/** The HTTP server of a process: metrics, health and readiness, and the routes of its role. */
package org.jujubelead.runtime.process

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import org.jujubelead.runtime.rpc.Address
import org.jujubelead.runtime.telemetry.Metrics

private const val SHUTDOWN_GRACE_MILLIS = 500L
private const val IDLE_TIMEOUT_SECONDS = 75

/** Returns the reason why the process is not ready, or null if it is ready. */
public typealias Readiness = () -> String?

/** Starts the server. [install] adds the routes of the role after the common routes. */
public fun startHttp(
    address: Address,
    metrics: Metrics,
    readiness: Readiness,
    install: Route.() -> Unit = {},
): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> = embeddedServer(
    factory = CIO,
    configure = {
        connectors += io.ktor.server.engine.EngineConnectorBuilder().apply {
            host = address.host
            port = address.port
        }
        connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
    },
) {
    routing {
        get("/metrics") { call.respondText(metrics.scrape(), ContentType.Text.Plain) }
        get("/healthz") { call.respondText("ok\n") }
        get("/readyz") {
            val reason = readiness()
            val status = if (reason == null) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText("${reason ?: "ready"}\n", status = status)
        }
        install()
    }
}.start(wait = false)

/** Stops the server after a short grace period for responses in progress. */
public fun EmbeddedServer<*, *>.stopGracefully() {
    stop(SHUTDOWN_GRACE_MILLIS, SHUTDOWN_GRACE_MILLIS)
}
