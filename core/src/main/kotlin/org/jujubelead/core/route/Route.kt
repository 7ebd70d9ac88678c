/**
 * Routes of a deployment: which requests belong to which service, and what the operator allows for them.
 *
 * A request belongs to the route of its host with the longest prefix that begins its path.
 */
package org.jujubelead.core.route

import org.jujubelead.core.ids.ServiceId
import kotlin.time.Duration

/** How often one request may run, and how its answer is delivered. */
public sealed interface RequestKind {
    /** True when a second run does no harm. */
    public val repeatable: Boolean

    /** A request with a single answer that may run any number of times. */
    public data object Idempotent : RequestKind {
        override val repeatable: Boolean get() = true
    }

    /** A request with a single answer that runs at most once. */
    public data object AtMostOnce : RequestKind {
        override val repeatable: Boolean get() = false
    }

    /** A stream of numbered events. [maxEventGap] is the longest pause between events that is still on time. */
    public data class Stream(val resumable: Boolean, val maxEventGap: Duration) : RequestKind {
        override val repeatable: Boolean get() = resumable
    }
}

/** A service that takes [weight] parts of a route's requests. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * @property timeout longest time that a caller is kept waiting.
 * @property objective time to the answer, or to the first event of a stream, within which it is on time.
 * @property priority rank among requests of a service; 0 is the most urgent.
 * @property maxAttempts replicas that one request may be sent to.
 * @property anonymous true when no key is needed.
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
    /** Picks a service by weight. Equal [seed]s get the same service. */
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

    /** The route of a request, or null. [path] has no query. */
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
