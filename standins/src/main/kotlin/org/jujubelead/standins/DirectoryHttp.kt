/**
 * HTTP interface of [DirectoryService]. `PUT /_control/directory` sets lag, freeze and outage;
 * `POST /_control/leaving?id=I` and `POST /_control/remove?id=I` change one instance;
 * `POST /_control/reroute?id=I&port=P` replaces its listed port by that of a proxy.
 */
package org.jujubelead.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.Serializable
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.membership.InstanceRecord
import kotlin.time.Duration.Companion.milliseconds

/** Faults, as set through the control interface. */
@Serializable
public data class DirectoryFaultBody(val outage: Boolean = false, val lagMs: Long = 0, val frozen: Boolean = false)

public class DirectoryHttp(private val service: DirectoryService) : HttpModule {
    @Volatile
    private var current = DirectoryFaultBody(lagMs = service.lag.inWholeMilliseconds)

    override fun install(route: Route) {
        with(route) {
            get("/v1/instances") {
                if (current.outage) {
                    call.respond(HttpStatusCode.ServiceUnavailable)
                } else {
                    call.respondJson(service.snapshot(System.currentTimeMillis()))
                }
            }
            put("/v1/instances") {
                if (current.outage) {
                    call.respond(HttpStatusCode.ServiceUnavailable)
                } else {
                    service.announce(call.bodyJson<InstanceRecord>(), System.currentTimeMillis())
                    respondNoContent()
                }
            }
            control("/_control/directory", read = { current }, write = ::setFaults)
            post("/_control/leaving") {
                val known = service.markLeaving(InstanceId(call.required("id")), System.currentTimeMillis())
                call.respond(if (known) HttpStatusCode.NoContent else HttpStatusCode.NotFound)
            }
            post("/_control/reroute") {
                service.reroute(InstanceId(call.required("id")), call.required("port").toInt())
                respondNoContent()
            }
            post("/_control/remove") {
                service.remove(InstanceId(call.required("id")), System.currentTimeMillis())
                respondNoContent()
            }
        }
    }

    private fun setFaults(body: DirectoryFaultBody) {
        current = body
        service.lag = body.lagMs.milliseconds
        service.frozen = body.frozen
    }
}
