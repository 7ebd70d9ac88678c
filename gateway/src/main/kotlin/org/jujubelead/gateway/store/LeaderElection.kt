/**
 * Elects one process by a key in the store that lives as long as its holder's lease.
 *
 * The holder renews its lease and stops leading on its own clock before the lease can end elsewhere. That alone does
 * not exclude two leaders, since a process can be suspended at any point; what a leader does must be safe beside a
 * successor, and [confirmLeadership] tells whether there is one. A process that finds its own address as the holder was restarted
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
 * @param self address by which others reach this process.
 * @param turn position in which processes try to take over, to keep them from trying all at once.
 * @param leaderAnswers true while the leader that is followed answers this process.
 */
public class LeaderElection(
    private val store: HttpClient,
    private val loop: EventLoop,
    private val log: EventLog,
    private val key: String,
    private val self: Endpoint,
    private val candidateIndex: () -> Int,
    private val leaderAnswers: () -> Boolean,
    private val onChange: (Leadership) -> Unit,
) {
    private var lease: LeaseId? = null
    private var renewedAt: ClockReading? = null

    /** The newest revision at which a process is known to have become the leader. */
    private var latestTerm = Revision(0)

    public var leadership: Leadership = Leadership.Unknown
        private set

    public fun start(): Unit = scheduleStep(INITIAL_DELAY)

    /** Tells whether this process still leads at a moment after the call. */
    public fun confirmLeadership(done: (Boolean) -> Unit) {
        val since = (leadership as? Leadership.Leader)?.since ?: return done(false)
        store.post(StoreRequests.TRANSACTION_PATH, StoreRequests.compareRevision(key, since)) { result ->
            val status = result.get()?.status
            if (status == STATUS_CONFLICT) transitionTo(Leadership.Unknown)
            done(status == STATUS_OK)
        }
    }

    /** Takes in that [leader] says that it leads since [since]. */
    public fun onAnnouncement(leader: Endpoint, since: Revision) {
        if (since > latestTerm && leader != self) transitionTo(Leadership.Follower(leader, since))
    }

    private fun step() {
        when (leadership) {
            is Leadership.Leader -> renew()
            is Leadership.Follower -> if (leaderAnswers()) scheduleStep(READ_INTERVAL) else readLeader()
            is Leadership.Unknown -> readLeader()
        }
    }

    private fun readLeader() {
        // Just after a start or a lost lease a stale read shows what was before, and delays the election.
        val path = if (leadership is Leadership.Unknown) {
            StoreRequests.readPath(key)
        } else {
            StoreRequests.staleReadPath(key)
        }
        store.get(path) { result ->
            val answer = result.get()
            when (answer?.status) {
                STATUS_OK -> onLeaderFound(answer.body)
                STATUS_NOT_FOUND -> loop.schedule(::campaignIfVacant, candidateIndex() * CANDIDATE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                else -> scheduleStep(READ_INTERVAL)
            }
        }
    }

    private fun onLeaderFound(body: String) {
        val stored = decodeStoredValue(body).getOrElse {
            log.log(LogEvent.LEADER_UNREADABLE, "key" to key, "detail" to it.detail)
            return scheduleStep(READ_INTERVAL)
        }
        val leader = Endpoint.parse(stored.text)
        if (leader == self) return campaign(replacing = stored.revision)
        // A stale read may name an earlier leader.
        if (leader != null && stored.revision >= latestTerm) transitionTo(Leadership.Follower(leader, stored.revision))
        scheduleStep(READ_INTERVAL)
    }

    private fun campaignIfVacant() {
        val leaderAlive = leadership is Leadership.Follower && leaderAnswers()
        if (leaderAlive) scheduleStep(READ_INTERVAL) else campaign(replacing = null)
    }

    /** Tries to become the leader: where nobody leads, or in the place of this process's earlier life. */
    private fun campaign(replacing: Revision?) {
        val requestedAt = ProcessClock.read()
        store.post(StoreRequests.LEASE_PATH, StoreRequests.grantLease(LEASE_TIME)) { result ->
            val granted = result.successBody()?.let { decodeLease(it).get() }
            if (granted == null) return@post scheduleStep(READ_INTERVAL)
            val write = StoreRequests.replaceWithLease(key, replacing, self.toString(), granted)
            store.post(StoreRequests.TRANSACTION_PATH, write) { written ->
                val since = written.successBody()?.let { decodeWriteRevision(it).get() }
                if (since != null) {
                    lease = granted
                    renewedAt = requestedAt
                    transitionTo(Leadership.Leader(since))
                } else {
                    log.log(
                        LogEvent.ELECTION_LOST,
                        "key" to key,
                        "replacing" to replacing?.value,
                        "status" to written.get()?.status,
                        "millis" to ProcessClock.read().since(requestedAt).inWholeMilliseconds,
                    )
                }
                scheduleStep(if (since != null) RENEW_INTERVAL else READ_INTERVAL)
            }
        }
    }

    private fun renew() {
        val held = lease
        val last = renewedAt
        val now = ProcessClock.read()
        if (held == null || last == null || now.since(last) > LEASE_TIME * TRUSTED_LEASE_FRACTION) {
            transitionTo(Leadership.Unknown)
            return scheduleStep(READ_INTERVAL)
        }
        store.post(StoreRequests.renewLeasePath(held), "") { result ->
            val status = result.get()?.status
            if (status == STATUS_OK) renewedAt = now
            if (status == STATUS_NOT_FOUND) transitionTo(Leadership.Unknown)
            scheduleStep(RENEW_INTERVAL)
        }
    }

    private fun transitionTo(next: Leadership) {
        if (next == leadership) return
        latestTerm = maxOf(latestTerm, next.since)
        if (leadership is Leadership.Leader || next is Leadership.Leader) {
            log.log(LogEvent.LEADERSHIP_CHANGED, "key" to key, "before" to leadership, "now" to next)
        }
        leadership = next
        onChange(next)
    }

    private fun scheduleStep(wait: Duration) {
        loop.schedule(::step, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Demand shifts every few seconds, so a group is without a coordinator for no longer than that. */
        val LEASE_TIME: Duration = 2.seconds

        /** Part of the lease after which the holder no longer trusts it. */
        const val TRUSTED_LEASE_FRACTION = 0.8
        val RENEW_INTERVAL: Duration = 500.milliseconds
        val READ_INTERVAL: Duration = 600.milliseconds
        val INITIAL_DELAY: Duration = 50.milliseconds

        /** A few times the call that takes the key and the announcement after it, on a busy small instance. */
        const val CANDIDATE_DELAY_MILLIS = 60L
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 412
    }
}
