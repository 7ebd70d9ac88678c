/**
 * Whether a request may be served: its route, its key, and how old the configuration is that tells.
 */
package org.jujubelead.gateway.caller

import io.netty.handler.codec.http.HttpResponseStatus
import org.jujubelead.core.route.Route
import org.jujubelead.core.route.Workspace
import org.jujubelead.core.time.ClockReading
import org.jujubelead.gateway.settings.DeploymentBounds
import org.jujubelead.gateway.store.ControlState

internal sealed interface Authorization {
    /** @property workspace null when the route needs no key. */
    data class Allowed(val route: Route, val workspace: Workspace?) : Authorization

    /** This instance cannot tell now. */
    data class Undecided(val reason: String) : Authorization

    data class Denied(val status: HttpResponseStatus, val reason: String) : Authorization
}

/**
 * Decides about [request] at [now].
 *
 * A key may have been revoked, and a route added, since the configuration was last proved to be the newest. Beyond the
 * trusted age neither is decided here.
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
    val fresh = state.age(now) < bounds.trustedConfigurationAge
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
