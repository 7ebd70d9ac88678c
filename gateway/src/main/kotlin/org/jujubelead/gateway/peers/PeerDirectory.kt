/**
 * Registers this gateway in the store under a lease, and finds the other gateways. Registers again in each era of the
 * store, since neither the entry nor the lease of an earlier one can be relied on, and when its entry is not listed: a
 * write that was executed late can have bound it to an earlier lease. Runs on the control-plane event loop.
 */
package org.jujubelead.gateway.peers

import com.github.michaelbull.result.get
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.store.success
import org.jujubelead.platform.wire.Lease
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** @param onChange receives the other gateways. */
public class PeerDirectory(
    private val store: StoreClient,
    loop: EventLoop,
    private val instance: InstanceId,
    private val own: Peer,
    private val decoders: WireDecoders = WireDecoders,
    private val onChange: (List<Peer>) -> Unit,
) {
    private var lease: Lease? = null
    private var registeredAt = Timestamp.ZERO
    private val list = GatewayListPoller(store, loop, decoders) { all ->
        onChange(all.filter { it.endpoint != own.endpoint })
    }
    private val registration = RepeatingTask(
        loop = loop,
        name = "registration",
        waitTime = { if (lease == null) RETRY_INTERVAL else RENEW_INTERVAL },
        work = ::register,
    )

    init {
        store.onNewEra {
            lease = null
            registration.expedite()
        }
    }

    public fun start() {
        registration.start()
        list.start()
    }

    private fun register(turn: RepeatingTask.Turn) {
        val held = lease
        if (held != null && !isMissing()) return renew(held, turn)
        lease = null
        store.post(
            StoreRequests.LEASE_PATH,
            StoreRequests.grantLease(LEASE_TIME),
            done = turn.step { result ->
                val granted = result.success()?.let { decoders.lease(it.body, it.era).get() }
                if (granted == null) turn.end() else write(granted, turn)
            },
        )
    }

    /** Returns whether a list that must show the entry of this gateway does not. */
    private fun isMissing(): Boolean {
        val readAt = list.readAt ?: return false
        return readAt > registeredAt + MAX_STALENESS && !list.lists(own.endpoint)
    }

    private fun write(granted: Lease, turn: RepeatingTask.Turn) {
        val write = StoreRequests.writeWithLease(
            "${GatewayListPoller.PREFIX}${instance.value}",
            "${own.zone.value} ${own.endpoint}",
            granted,
        )
        store.post(
            StoreRequests.TRANSACTION_PATH,
            write,
            done = turn.lastStep {
                if (it.success()?.era == granted.era) {
                    lease = granted
                    registeredAt = store.clock.now()
                }
            },
        )
    }

    private fun renew(held: Lease, turn: RepeatingTask.Turn) {
        store.post(
            StoreRequests.renewLeasePath(held),
            "",
            done = turn.lastStep { if (it.get()?.status == STATUS_NOT_FOUND) lease = null },
        )
    }

    private companion object {
        val LEASE_TIME: Duration = 8.seconds

        /** A stale read may be seconds old. */
        val MAX_STALENESS: Duration = 5.seconds
        val RENEW_INTERVAL: Duration = 2_500.milliseconds
        val RETRY_INTERVAL: Duration = 1_000.milliseconds
        const val STATUS_NOT_FOUND = 404
    }
}
