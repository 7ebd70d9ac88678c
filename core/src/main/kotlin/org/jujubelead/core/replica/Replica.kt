/**
 * Replicas of services, as the platform's registry lists them.
 */
package org.jujubelead.core.replica

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId

/** The name a replica registered under. A later incarnation of it can have the same name. */
@JvmInline
public value class ReplicaId(public val value: String) {
    override fun toString(): String = value
}

/** Where a replica listens. */
public data class Endpoint(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Reads `HOST:PORT`; null when [text] is not that. */
        public fun parse(text: String): Endpoint? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
            val host = text.substringBeforeLast(':').ifEmpty { return null }
            return Endpoint(host, port)
        }
    }
}

/**
 * @property slots requests that it processes at once.
 * @property draining true once it has announced that it leaves.
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
)
