/**
 * Polls the list of gateways registered in the store. It uses stale reads, which cost less: learning late that a
 * gateway came or went only makes load figures less accurate. In a new era of the store gateways register again, and
 * those that were known are kept meanwhile. Runs on one event loop.
 */
package org.jujubelead.gateway.peers

import io.netty.channel.EventLoop
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.store.RangeRead
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.store.readRange
import org.jujubelead.platform.wire.KeyRange
import org.jujubelead.platform.wire.ValuePage
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public data class Peer(val endpoint: Endpoint, val zone: ZoneId)

/** @param onChange receives all gateways. */
public class GatewayListPoller(
    private val store: StoreClient,
    loop: EventLoop,
    private val decoders: WireDecoders = WireDecoders,
    private val onChange: (List<Peer>) -> Unit,
) {
    private var known: List<Peer> = emptyList()
    private var listedEra: StoreEra? = null

    /** When the latest list was requested; null before the first one. */
    public var readAt: Timestamp? = null
        private set

    /** Until then gateways that are not listed are kept. */
    private var keepUntil = Timestamp.ZERO
    private val polls = RepeatingTask(
        loop = loop,
        name = "gateway list",
        waitTime = { if (known.isEmpty()) INITIAL_INTERVAL else INTERVAL },
        work = ::list,
    )

    /** Starts polling after [initialDelay]. */
    public fun start(initialDelay: Duration = INITIAL_INTERVAL): Unit = polls.start(initialDelay)

    public fun stop(): Unit = polls.stop()

    /** Returns whether the latest list names [endpoint]. */
    public fun lists(endpoint: Endpoint): Boolean = known.any { it.endpoint == endpoint }

    private fun list(turn: RepeatingTask.Turn) {
        val sentAt = store.clock.now()
        store.readRange(RANGE, turn, { body, _ -> decoders.valuePage(body) }) { read ->
            if (read.pages.isNotEmpty()) onRead(read, sentAt)
            turn.end()
        }
    }

    private fun onRead(read: RangeRead<ValuePage>, sentAt: Timestamp) {
        val now = store.clock.now()
        if (read.era != listedEra) keepUntil = now + REGISTRATION_TIME
        listedEra = read.era
        val listed = read.pages.flatMap { it.content.texts }.mapNotNull(::peer)
        val complete = read.failure == null
        val peers = if (complete && now >= keepUntil) listed else (listed + known).distinct()
        if (peers != known) onChange(peers)
        known = peers
        if (complete) readAt = sentAt
    }

    private fun peer(text: String): Peer? {
        val zone = text.substringBefore(' ')
        return Peer(Endpoint.parse(text.substringAfter(' ')) ?: return null, ZoneId(zone))
    }

    public companion object {
        /** Prefix of the keys of gateway entries. */
        public const val PREFIX: String = "gateways/"
        private val RANGE = KeyRange(PREFIX, stale = true)

        /** Shorter until a gateway is found, since all gateways of a deployment start at about the same time. */
        private val INITIAL_INTERVAL: Duration = 1_500.milliseconds
        private val INTERVAL: Duration = 4.seconds

        /** Longer than it takes any gateway to notice a new era and to register in it. */
        private val REGISTRATION_TIME: Duration = 3.seconds
    }
}
