/**
 * Finds the other gateways of the deployment through the store.
 *
 * Each gateway keeps an entry under a lease, and lists the entries of all at the price of a stale read: a peer that is
 * known late, or for too long, costs some accuracy of the load figures and nothing else. Runs on the control thread.
 */
package org.jujubelead.gateway.peers

import com.github.michaelbull.result.get
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.HttpCaller
import org.jujubelead.gateway.net.successBody
import org.jujubelead.platform.wire.LeaseId
import org.jujubelead.platform.wire.StoreCalls
import org.jujubelead.platform.wire.decodeLease
import org.jujubelead.platform.wire.decodeTexts
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Another gateway, or this one. */
public data class Peer(val endpoint: Endpoint, val zone: ZoneId)

/** @param onChange gets the other gateways. */
public class PeerDirectory(
    private val store: HttpCaller,
    private val loop: EventLoop,
    private val instance: InstanceId,
    private val own: Peer,
    private val onChange: (List<Peer>) -> Unit,
) {
    private var lease: LeaseId? = null
    private var known: List<Peer> = emptyList()

    public fun start() {
        loop.execute(::register)
        loop.schedule(::list, FIRST_LIST.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun register() {
        val held = lease
        if (held != null) return renew(held)
        store.post(StoreCalls.LEASE_PATH, StoreCalls.lease(LEASE_TIME)) { result ->
            val granted = result.successBody()?.let { decodeLease(it).get() }
            if (granted == null) return@post later(RETRY)
            val write = StoreCalls.writeUnderLease(
                "$PREFIX${instance.value}",
                "${own.zone.value} ${own.endpoint}",
                granted,
            )
            store.post(StoreCalls.TRANSACTION_PATH, write) { written ->
                if (written.get()?.status == STATUS_OK) lease = granted
                later(if (lease != null) RENEW else RETRY)
            }
        }
    }

    private fun renew(held: LeaseId) {
        store.post(StoreCalls.keepPath(held), "") { result ->
            if (result.get()?.status == STATUS_NOT_FOUND) lease = null
            later(if (lease == null) RETRY else RENEW)
        }
    }

    private fun later(wait: Duration) {
        loop.schedule(::register, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun list() {
        store.get(StoreCalls.possiblyStaleRange(PREFIX)) { result ->
            val body = result.successBody()
            val peers = body?.let { decodeTexts(it).get() }?.mapNotNull(::peer)?.filter { it.endpoint != own.endpoint }
            if (peers != null && peers != known) {
                known = peers
                onChange(peers)
            }
            val wait = if (known.isEmpty()) FIRST_LIST else LIST
            loop.schedule(::list, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    private fun peer(text: String): Peer? {
        val zone = text.substringBefore(' ')
        return Peer(Endpoint.parse(text.substringAfter(' ')) ?: return null, ZoneId(zone))
    }

    private companion object {
        const val PREFIX = "gateways/"
        val LEASE_TIME: Duration = 8.seconds
        val RENEW: Duration = 2_500.milliseconds
        val RETRY: Duration = 1_000.milliseconds

        /** Gateways start at about the same time. */
        val FIRST_LIST: Duration = 1_500.milliseconds
        val LIST: Duration = 4.seconds
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
    }
}
