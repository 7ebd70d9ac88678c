/**
 * Elects one process by a key in the store that lives as long as its holder's lease.
 *
 * The holder renews its lease and stops leading on its own clock before the lease can end elsewhere. That alone does
 * not exclude two leaders, since a process can be suspended at any point; what a leader does must be safe beside a
 * successor, and [prove] tells whether there is one. A process that finds its own address as the holder was restarted
 * and takes the key over at once, under a new revision, instead of waiting for the end of its former lease. Followers
 * leave the store alone while the leader answers them. Runs on the control thread.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.ClockReading
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.LeaseId
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.decodeLease
import org.jujubelead.platform.wire.decodeStoredValue
import org.jujubelead.platform.wire.decodeWriteRevision
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Who leads. */
public sealed interface Leadership {
    /** Revision at which the leader took over; 0 when there is none. */
    public val since: Revision

    /** Nobody is known to lead. */
    public data object Unknown : Leadership {
        override val since: Revision get() = Revision(0)
    }

    /** Another process leads since store revision [since]. */
    public data class Follower(val leader: Endpoint, override val since: Revision) : Leadership

    /** This process leads since store revision [since]. */
    public data class Leader(override val since: Revision) : Leadership
}

/**
 * @param key in the store.
 * @param own address by which others reach this process.
 * @param turn position in which processes try to take over, to keep them from trying all at once.
 * @param leaderAnswers true while the leader that is followed answers this process.
 */
public class LeaderElection(
    private val store: HttpClient,
    private val loop: EventLoop,
    private val log: EventLog,
    private val key: String,
    private val own: Endpoint,
    private val turn: () -> Int,
    private val leaderAnswers: () -> Boolean,
    private val onChange: (Leadership) -> Unit,
) {
    private var lease: LeaseId? = null
    private var renewedAt: ClockReading? = null

    /** The newest revision at which a process is known to have become the leader. */
    private var newest = Revision(0)

    public var leadership: Leadership = Leadership.Unknown
        private set

    public fun start(): Unit = again(FIRST_WAIT)

    /** Tells whether this process still leads at a moment after the call. */
    public fun prove(done: (Boolean) -> Unit) {
        val since = (leadership as? Leadership.Leader)?.since ?: return done(false)
        store.post(StoreRequests.TRANSACTION_PATH, StoreRequests.compareRevision(key, since)) { result ->
            val status = result.get()?.status
            if (status == STATUS_CONFLICT) become(Leadership.Unknown)
            done(status == STATUS_OK)
        }
    }

    /** Takes in that [leader] says that it leads since [since]. */
    public fun announced(leader: Endpoint, since: Revision) {
        if (since > newest && leader != own) become(Leadership.Follower(leader, since))
    }

    private fun step() {
        when (leadership) {
            is Leadership.Leader -> renew()
            is Leadership.Follower -> if (leaderAnswers()) again(LOOK_INTERVAL) else look()
            is Leadership.Unknown -> look()
        }
    }

    private fun look() {
        // Just after a start or a lost lease a stale read shows what was before, and delays the election.
        val path = if (leadership is Leadership.Unknown) {
            StoreRequests.readPath(key)
        } else {
            StoreRequests.staleReadPath(key)
        }
        store.get(path) { result ->
            val answer = result.get()
            when (answer?.status) {
                STATUS_OK -> found(answer.body)
                STATUS_NOT_FOUND -> loop.schedule(::contendIfVacant, turn() * TURN_MILLIS, TimeUnit.MILLISECONDS)
                else -> again(LOOK_INTERVAL)
            }
        }
    }

    private fun found(body: String) {
        val stored = decodeStoredValue(body).getOrElse {
            log.log(LogEvent.LEADER_UNREADABLE, "key" to key, "detail" to it.detail)
            return again(LOOK_INTERVAL)
        }
        val leader = Endpoint.parse(stored.text)
        if (leader == own) return contend(replacing = stored.revision)
        // A stale read may name an earlier leader.
        if (leader != null && stored.revision >= newest) become(Leadership.Follower(leader, stored.revision))
        again(LOOK_INTERVAL)
    }

    private fun contendIfVacant() {
        val followed = leadership is Leadership.Follower && leaderAnswers()
        if (followed) again(LOOK_INTERVAL) else contend(replacing = null)
    }

    /** Tries to become the leader: where nobody leads, or in the place of this process's earlier life. */
    private fun contend(replacing: Revision?) {
        val askedAt = ProcessClock.read()
        store.post(StoreRequests.LEASE_PATH, StoreRequests.grantLease(LEASE_TIME)) { result ->
            val granted = result.successBody()?.let { decodeLease(it).get() }
            if (granted == null) return@post again(LOOK_INTERVAL)
            val write = StoreRequests.replaceWithLease(key, replacing, own.toString(), granted)
            store.post(StoreRequests.TRANSACTION_PATH, write) { written ->
                val since = written.successBody()?.let { decodeWriteRevision(it).get() }
                if (since != null) {
                    lease = granted
                    renewedAt = askedAt
                    become(Leadership.Leader(since))
                } else {
                    log.log(
                        LogEvent.ELECTION_LOST,
                        "key" to key,
                        "replacing" to replacing?.value,
                        "status" to written.get()?.status,
                        "millis" to ProcessClock.read().since(askedAt).inWholeMilliseconds,
                    )
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
        store.post(StoreRequests.renewLeasePath(held), "") { result ->
            val status = result.get()?.status
            if (status == STATUS_OK) renewedAt = now
            if (status == STATUS_NOT_FOUND) become(Leadership.Unknown)
            again(RENEW_INTERVAL)
        }
    }

    private fun become(next: Leadership) {
        if (next == leadership) return
        newest = maxOf(newest, next.since)
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
        /** Demand shifts every few seconds, so a group is without a coordinator for no longer than that. */
        val LEASE_TIME: Duration = 2.seconds

        /** Part of the lease after which the holder no longer trusts it. */
        const val TRUSTED_LEASE_SHARE = 0.8
        val RENEW_INTERVAL: Duration = 500.milliseconds
        val LOOK_INTERVAL: Duration = 600.milliseconds
        val FIRST_WAIT: Duration = 50.milliseconds

        /** A few times the call that takes the key and the announcement after it, on a busy small instance. */
        const val TURN_MILLIS = 60L
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 412
    }
}
