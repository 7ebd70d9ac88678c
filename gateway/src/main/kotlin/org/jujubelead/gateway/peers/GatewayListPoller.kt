/**
 * Lists the gateways that are registered in the store, at the price of a stale read: one that is known late, or for too
 * long, costs some accuracy of load figures and nothing else. Runs on the control thread.
 */
package org.jujubelead.gateway.peers

import com.github.michaelbull.result.get
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.successBody
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeValues
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway. */
public data class Peer(val endpoint: Endpoint, val zone: ZoneId)

/** @param onChange gets all gateways. */
public class GatewayListPoller(
    private val store: HttpClient,
    private val loop: EventLoop,
    private val onChange: (List<Peer>) -> Unit,
) {
    private var known: List<Peer> = emptyList()
    private var stopped = false

    /** Lists for the first time after [initialDelay], and then again and again. */
    public fun start(initialDelay: Duration = INITIAL_INTERVAL) {
        loop.schedule(::list, initialDelay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    public fun stop() {
        stopped = true
    }

    private fun list() {
        if (stopped) return
        store.get(StoreRequests.staleRangeReadPath(PREFIX)) { result ->
            val peers = result.successBody()?.let { decodeValues(it).get() }?.mapNotNull(::peer)
            if (peers != null && peers != known && !stopped) {
                known = peers
                onChange(peers)
            }
            start(if (known.isEmpty()) INITIAL_INTERVAL else INTERVAL)
        }
    }

    private fun peer(text: String): Peer? {
        val zone = text.substringBefore(' ')
        return Peer(Endpoint.parse(text.substringAfter(' ')) ?: return null, ZoneId(zone))
    }

    public companion object {
        /** Keys of the gateways' entries. */
        public const val PREFIX: String = "gateways/"

        /** Gateways start at about the same time. */
        private val INITIAL_INTERVAL: Duration = 1_500.milliseconds
        private val INTERVAL: Duration = 4.seconds
    }
}
