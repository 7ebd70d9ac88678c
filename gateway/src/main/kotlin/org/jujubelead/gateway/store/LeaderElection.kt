/**
 * Elects one process by a key in the store that lives as long as its holder's lease.
 *
 * The holder renews its lease and stops leading on its own clock before the lease can end elsewhere. That alone does
 * not exclude two leaders, since a process can be suspended at any point; what a leader does must be safe beside a
 * successor, and [prove] tells whether there is one. Runs on the control thread.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.get
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.ClockReading
import org.jujubelead.gateway.net.HttpCaller
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.LeaseId
import org.jujubelead.platform.wire.StoreCalls
import org.jujubelead.platform.wire.StoredText
import org.jujubelead.platform.wire.decodeLease
import org.jujubelead.platform.wire.decodeStoredText
import org.jujubelead.platform.wire.decodeWritten
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Who leads. */
public sealed interface Leadership {
    /** Nobody is known to lead. */
    public data object Unknown : Leadership

    /** Another process leads since store revision [since]. */
    public data class Follower(val leader: Endpoint, val since: Revision) : Leadership

    /** This process leads since store revision [since]. */
    public data class Leader(val since: Revision) : Leadership
}

/**
 * @param key in the store.
 * @param own address by which others reach this process.
 * @param turn position in which processes try to take over, to keep them from trying all at once.
 */
public class LeaderElection(
    private val store: HttpCaller,
    private val loop: EventLoop,
    private val log: EventLog,
    private val key: String,
    private val own: Endpoint,
    private val turn: () -> Int,
    private val onChange: (Leadership) -> Unit,
) {
    private var lease: LeaseId? = null
    private var renewedAt: ClockReading? = null

    public var leadership: Leadership = Leadership.Unknown
        private set

    public fun start(): Unit = again(FIRST_WAIT)

    /** Tells whether this process still leads at a moment after the call. */
    public fun prove(done: (Boolean) -> Unit) {
        val since = (leadership as? Leadership.Leader)?.since ?: return done(false)
        store.post(StoreCalls.TRANSACTION_PATH, StoreCalls.unchanged(key, since)) { result ->
            val status = result.get()?.status
            if (status == STATUS_CONFLICT) become(Leadership.Unknown)
            done(status == STATUS_OK)
        }
    }

    private fun step() {
        when (leadership) {
            is Leadership.Leader -> renew()
            else -> look()
        }
    }

    private fun look() {
        store.get(StoreCalls.possiblyStale(key)) { result ->
            val answer = result.get()
            when (answer?.status) {
                STATUS_OK -> {
                    decodeStoredText(answer.body).get()?.let(::follow)
                    again(LOOK_INTERVAL)
                }

                STATUS_NOT_FOUND -> loop.schedule(::contend, turn() * TURN_MILLIS, TimeUnit.MILLISECONDS)

                else -> again(LOOK_INTERVAL)
            }
        }
    }

    private fun follow(stored: StoredText) {
        val leader = Endpoint.parse(stored.text) ?: return
        val known = (leadership as? Leadership.Follower)?.since
        // A stale read may name an earlier leader.
        if (known != null && stored.revision < known) return
        become(Leadership.Follower(leader, stored.revision))
    }

    private fun contend() {
        val askedAt = ProcessClock.read()
        store.post(StoreCalls.LEASE_PATH, StoreCalls.lease(LEASE_TIME)) { result ->
            val granted = result.successBody()?.let { decodeLease(it).get() }
            if (granted == null) return@post again(LOOK_INTERVAL)
            val write = StoreCalls.createUnderLease(key, own.toString(), granted)
            store.post(StoreCalls.TRANSACTION_PATH, write) { written ->
                val since = written.successBody()?.let { decodeWritten(it).get() }
                if (since != null) {
                    lease = granted
                    renewedAt = askedAt
                    become(Leadership.Leader(since))
                }
                again(if (since != null) RENEW_INTERVAL else LOOK_INTERVAL)
            }
        }
    }

    private fun renew() {
        val held = lease
        val last = renewedAt
        val now = ProcessClock.read()
        if (held == null || last == null || now.since(last) > LEASE_TIME * TRUSTED_LEASE_SHARE) {
            become(Leadership.Unknown)
            return again(LOOK_INTERVAL)
        }
        store.post(StoreCalls.keepPath(held), "") { result ->
            val status = result.get()?.status
            if (status == STATUS_OK) renewedAt = now
            if (status == STATUS_NOT_FOUND) become(Leadership.Unknown)
            again(RENEW_INTERVAL)
        }
    }

    private fun become(next: Leadership) {
        if (next == leadership) return
        if (leadership is Leadership.Leader || next is Leadership.Leader) {
            log.log(LogEvent.LEADERSHIP_CHANGED, "key" to key, "before" to leadership, "now" to next)
        }
        leadership = next
        onChange(next)
    }

    private fun again(wait: Duration) {
        loop.schedule(::step, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** A group without a coordinator keeps its map; three seconds without one are no harm. */
        val LEASE_TIME: Duration = 3.seconds

        /** Part of the lease after which the holder no longer trusts it. */
        const val TRUSTED_LEASE_SHARE = 0.8
        val RENEW_INTERVAL: Duration = 800.milliseconds
        val LOOK_INTERVAL: Duration = 1_200.milliseconds
        val FIRST_WAIT: Duration = 300.milliseconds
        const val TURN_MILLIS = 60L
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 412
    }
}
