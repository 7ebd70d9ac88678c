/**
 * Routes of a deployment. A route assigns requests to services and sets their limits.
 *
 * A request is matched to the route of its host with the longest path prefix.
 */
package org.jujubelead.core.route

import org.jujubelead.core.ids.ServiceId
import kotlin.time.Duration

/** Execution guarantee and response type of a route's requests. */
public sealed interface RequestKind {
    /** True when a request may run more than once. */
    public val repeatable: Boolean

    /** A request with a single response that may run any number of times. */
    public data object Idempotent : RequestKind {
        override val repeatable: Boolean get() = true
    }

    /** A request with a single response that runs at most once. */
    public data object AtMostOnce : RequestKind {
        override val repeatable: Boolean get() = false
    }

    /** A stream of numbered events. It is on time when no gap between two events exceeds [maxEventGap]. */
    public data class Stream(val resumable: Boolean, val maxEventGap: Duration) : RequestKind {
        override val repeatable: Boolean get() = resumable
    }
}

/** A service that receives the share of a route's requests given by [weight]. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * @property timeout maximum time that a caller waits.
 * @property objective a response, or the first event of a stream, is on time within this duration.
 * @property priority priority among the requests of a service; 0 is the highest.
 * @property maxAttempts maximum number of replicas that one request is sent to.
 * @property anonymous true when no API key is required.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val objective: Duration,
    val priority: Int,
    val services: List<WeightedService>,
    val maxAttempts: Int,
    val anonymous: Boolean,
) {
    /** Chooses a service by weight. The same [seed] always gives the same service. */
    public fun serviceFor(seed: Int): ServiceId {
        val total = services.sumOf { it.weight }
        if (services.size == 1 || total <= 0) return services.first().service
        var left = seed.mod(total)
        for (s in services) {
            if (left < s.weight) return s.service
            left -= s.weight
        }
        return services.last().service
    }
}

/** Finds routes by host and path. */
public class RouteTable(routes: List<Route>) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, list) -> list.associateBy { it.pathPrefix } }

    public val size: Int = routes.size

    /** Returns the route of a request, or null. [path] does not include the query. */
    public fun find(host: String, path: String): Route? {
        val prefixes = byHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.length
        while (end > 0) {
            val slash = path.lastIndexOf('/', end - 1)
            if (slash < 0) return null
            prefixes[path.substring(0, slash + 1)]?.let { return it }
            end = slash
        }
        return null
    }
}
