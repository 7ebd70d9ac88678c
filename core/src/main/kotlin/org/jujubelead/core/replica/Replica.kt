/**
 * Replicas of services, as listed by the registry of the platform.
 */
package org.jujubelead.core.replica

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId

/** The name under which a replica is registered. A restarted replica can have the same name. */
@JvmInline
public value class ReplicaId(public val value: String) {
    override fun toString(): String = value
}

/** Address on which a replica listens. */
public data class Endpoint(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Characters of host names and IP addresses. */
        private val hostPattern = Regex("""[A-Za-z0-9._:\[\]-]+""")

        /** Parses `HOST:PORT`. Returns null if [text] has another format. */
        public fun parse(text: String): Endpoint? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
            val host = text.substringBeforeLast(':')
            return if (hostPattern.matches(host)) Endpoint(host, port) else null
        }
    }
}

/**
 * @property slots number of requests that the replica processes concurrently.
 * @property draining true once the replica has announced its shutdown.
 * @property startedAtMillis start of this incarnation by the replica's clock, in Unix milliseconds; 0 if unknown.
 */
public data class Replica(
    val id: ReplicaId,
    val service: ServiceId,
    val endpoint: Endpoint,
    val zone: ZoneId,
    val slots: Int,
    val draining: Boolean,
    val startedAtMillis: Long,
) {
    val incarnation: Incarnation get() = Incarnation(id, startedAtMillis)
}

/** One run of a replica. A replica that starts again under the same id has another [startedAtMillis]. */
public data class Incarnation(val replica: ReplicaId, val startedAtMillis: Long)
