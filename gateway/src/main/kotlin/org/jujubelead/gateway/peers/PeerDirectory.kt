/**
 * Registers this gateway in the store under a lease, and finds the other gateways. Runs on the control-plane event
 * loop.
 */
package org.jujubelead.gateway.peers

import com.github.michaelbull.result.get
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.successBody
import org.jujubelead.platform.wire.LeaseId
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeLease
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** @param onChange receives the other gateways. */
public class PeerDirectory(
    private val store: HttpClient,
    private val loop: EventLoop,
    private val instance: InstanceId,
    private val own: Peer,
    private val onChange: (List<Peer>) -> Unit,
) {
    private var lease: LeaseId? = null
    private val list = GatewayListPoller(store, loop) { all -> onChange(all.filter { it.endpoint != own.endpoint }) }

    public fun start() {
        loop.execute(::register)
        list.start()
    }

    private fun register() {
        val held = lease
        if (held != null) return renew(held)
        store.post(StoreRequests.LEASE_PATH, StoreRequests.grantLease(LEASE_TIME)) { result ->
            val granted = result.successBody()?.let { decodeLease(it).get() }
            if (granted == null) return@post scheduleRegister(RETRY_INTERVAL)
            val write = StoreRequests.writeWithLease(
                "${GatewayListPoller.PREFIX}${instance.value}",
                "${own.zone.value} ${own.endpoint}",
                granted,
            )
            store.post(StoreRequests.TRANSACTION_PATH, write) { written ->
                if (written.get()?.status == STATUS_OK) lease = granted
                scheduleRegister(if (lease != null) RENEW_INTERVAL else RETRY_INTERVAL)
            }
        }
    }

    private fun renew(held: LeaseId) {
        store.post(StoreRequests.renewLeasePath(held), "") { result ->
            if (result.get()?.status == STATUS_NOT_FOUND) lease = null
            scheduleRegister(if (lease == null) RETRY_INTERVAL else RENEW_INTERVAL)
        }
    }

    private fun scheduleRegister(wait: Duration) {
        loop.schedule(::register, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val LEASE_TIME: Duration = 8.seconds
        val RENEW_INTERVAL: Duration = 2_500.milliseconds
        val RETRY_INTERVAL: Duration = 1_000.milliseconds
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
    }
}
