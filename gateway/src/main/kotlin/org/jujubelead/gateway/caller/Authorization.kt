/** Decides whether a request may be served, by its route, its API key and the age of the configuration. */
package org.jujubelead.gateway.caller

import io.netty.handler.codec.http.HttpResponseStatus
import org.jujubelead.core.route.Route
import org.jujubelead.core.route.Workspace
import org.jujubelead.core.time.ClockReading
import org.jujubelead.gateway.settings.DeploymentBounds
import org.jujubelead.gateway.store.ControlState

internal sealed interface Authorization {
    /** @property workspace null if the route needs no key. */
    data class Allowed(val route: Route, val workspace: Workspace?) : Authorization

    /** This instance cannot decide at present. */
    data class Undecided(val reason: String) : Authorization

    data class Denied(val status: HttpResponseStatus, val reason: String) : Authorization
}

/**
 * Authorizes [request] at [now].
 *
 * Since the configuration was last confirmed, a key may have been revoked or a route added. When the configuration
 * exceeds its trusted age, neither an unknown route nor, with strict revocation, a key is decided.
 */
internal fun authorize(
    request: InboundRequest,
    state: ControlState,
    bounds: DeploymentBounds,
    now: ClockReading,
): Authorization {
    val configuration = state.configuration
    if (configuration == null || state.replicas == null) return Authorization.Undecided("not-initialized")
    val route = configuration.routes.find(request.host, request.path)
    val keys = configuration.keys
    val fresh = state.isTrusted(now, bounds)
    if (route == null) {
        if (!fresh) return Authorization.Undecided("stale-configuration")
        return Authorization.Denied(HttpResponseStatus.NOT_FOUND, "no-route")
    }
    if (route.anonymous || keys == null) return Authorization.Allowed(route, workspace = null)
    if (!fresh && bounds.strictRevocation) return Authorization.Undecided("stale-configuration")
    val workspace = request.apiKey?.let { keys[it] }
        ?: return Authorization.Denied(HttpResponseStatus.UNAUTHORIZED, "unknown-key")
    return Authorization.Allowed(route, workspace)
}
