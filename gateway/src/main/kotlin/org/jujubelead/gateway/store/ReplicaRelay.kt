/**
 * Shares one gateway's reads of the replica list with the other gateways of its zone.
 *
 * The list grows with the fleet, and each read of it is paid for. In each zone the gateway with the lowest address
 * reads it; the others ask that gateway, more often than it reads, and read the store themselves when the answer is
 * missing or old. A shared list keeps the time at which it was asked for, so sharing never makes it look younger.
 */
package org.jujubelead.gateway.store

import io.netty.channel.EventLoop
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.peers.Peer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The pages of one complete read of the replica list. [ageMillis] is the time since it was asked for. */
@Serializable
public data class SharedList(val ageMillis: Long, val pages: List<String>)

/** @param maxAge of a shared list that is still taken. */
public class ReplicaRelay(
    private val loop: EventLoop,
    private val zone: ZoneId,
    private val own: Endpoint,
    private val maxAge: Duration,
) {
    private class Read(val sentAt: ClockReading, val pages: List<String>)

    @Volatile
    private var last: Read? = null
    private var zoneReader: HttpClient? = null

    /** True when another gateway of the zone reads the list. */
    public val hasZoneReader: Boolean get() = zoneReader != null

    /** Chooses the reader among the gateways of the zone. Runs on the control thread. */
    public fun peersChanged(peers: List<Peer>) {
        val lowest = (peers.filter { it.zone == zone }.map { it.endpoint } + own).minBy { it.toString() }
        val address = lowest.takeIf { it != own }
        if (zoneReader?.endpoint == address) return
        zoneReader?.close()
        zoneReader = address?.let { HttpClient(it, loop, TIMEOUT) }
    }

    /** Notes a complete read of the store. */
    public fun recordRead(sentAt: ClockReading, pages: List<String>) {
        last = Read(sentAt, pages)
    }

    /** The last own read, as JSON; null when there is none. */
    public fun sharedList(): String? {
        val read = last ?: return null
        val age = ProcessClock.read().since(read.sentAt)
        return Json.encodeToString(SharedList.serializer(), SharedList(age.inWholeMilliseconds, read.pages))
    }

    /** Asks the reader; [done] gets the pages and when they were asked for, or null when the store must be read. */
    public fun fetch(done: (pages: List<String>?, sentAt: Timestamp) -> Unit) {
        val requestedAt = ProcessClock.now()
        val from = zoneReader ?: return done(null, requestedAt)
        from.get(PATH) { result ->
            val body = result.successBody()
            val list = body?.let { Json.decodeFromString(SharedList.serializer(), it) }
            val age = list?.ageMillis?.milliseconds
            if (age == null || age > maxAge) done(null, requestedAt) else done(list.pages, requestedAt - age)
        }
    }

    public companion object {
        /** Path of the shared list on a gateway's internal port. */
        public const val PATH: String = "/replicas"

        /** Gateways of one zone are within a millisecond of each other. */
        private val TIMEOUT: Duration = 150.milliseconds
    }
}
