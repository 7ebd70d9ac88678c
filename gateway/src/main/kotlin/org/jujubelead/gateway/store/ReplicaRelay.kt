/**
 * Shares the replica list that one gateway reads with the other gateways of its zone.
 *
 * The list grows with the deployment, and each read of it from the store has a cost. In each zone the gateway with the
 * lowest address reads the list. The others poll that gateway more often than it polls the store, and read the store
 * themselves if it does not respond or its list is too old. A shared list keeps the age since it was requested from the
 * store, so sharing never makes it appear fresher.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.peers.Peer
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.decodeJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Pages of one complete read of the replica list in [era]. [ageMillis] is the time since the read was requested. A list
 * of a version of this program that names no era is of the earliest one.
 */
@Serializable
public data class SharedList(val ageMillis: Long, val pages: List<String>, val era: Long = 0)

/** Pages of one complete read of the replica list in [era], which was requested at [sentAt]. */
public class ReadPages(public val pages: List<String>, public val era: StoreEra, public val sentAt: Timestamp)

/** @param maxAge maximum age of a shared list that is accepted. */
public class ReplicaRelay(
    private val loop: EventLoop,
    private val zone: ZoneId,
    private val own: Endpoint,
    private val log: EventLog,
    private val maxAge: Duration,
) {
    private class Read(val sentAt: ClockReading, val era: StoreEra, val pages: List<String>)

    @Volatile
    private var last: Read? = null
    private var zoneReader: HttpClient? = null

    /** True if another gateway of the zone reads the list from the store. */
    public val hasZoneReader: Boolean get() = zoneReader != null

    /** Selects the reader among the gateways of the zone. Must be called on the control-plane event loop. */
    public fun peersChanged(peers: List<Peer>) {
        val lowest = (peers.filter { it.zone == zone }.map { it.endpoint } + own).minBy { it.toString() }
        val address = lowest.takeIf { it != own }
        if (zoneReader?.endpoint == address) return
        zoneReader?.close()
        zoneReader = address?.let { HttpClient(it, loop, TIMEOUT) }
    }

    /** Records a complete read from the store in [era]. */
    public fun recordRead(sentAt: ClockReading, era: StoreEra, pages: List<String>) {
        last = Read(sentAt, era, pages)
    }

    /** Returns the last list that this gateway read, as JSON; null if there is none. */
    public fun sharedList(): String? {
        val read = last ?: return null
        val age = ProcessClock.read().since(read.sentAt)
        val list = SharedList(age.inWholeMilliseconds, read.pages, read.era.value)
        return Json.encodeToString(SharedList.serializer(), list)
    }

    /** Requests the list from the zone's reader. [done] receives null if the store must be read instead. */
    public fun fetch(done: (ReadPages?) -> Unit) {
        val requestedAt = ProcessClock.now()
        val from = zoneReader ?: return done(null)
        from.get(PATH) { result ->
            val list = result.successBody()?.let(::decode)
            val age = list?.ageMillis?.milliseconds
            val usable = list != null && age != null && age <= maxAge
            done(if (usable) ReadPages(list.pages, StoreEra(list.era), sentAt = requestedAt - age) else null)
        }
    }

    /** Returns null if [body] is no list: the reader's address may belong to another process by now. */
    private fun decode(body: String): SharedList? =
        decodeJson("shared list", SharedList.serializer(), body).getOrElse {
            log.log(LogEvent.REPLICA_ENTRIES_UNREADABLE, "reader" to zoneReader?.endpoint, "detail" to it.detail)
            null
        }

    public companion object {
        /** Path of the shared list on the internal port of a gateway. */
        public const val PATH: String = "/replicas"

        /** The round trip between gateways of one zone is below a millisecond. */
        private val TIMEOUT: Duration = 150.milliseconds
    }
}
