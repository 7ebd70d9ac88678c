/**
 * Elects a leader by a key in the store that is bound to the lease of its holder.
 *
 * The holder renews its lease, and by its own clock stops leading before the lease can expire. That does not exclude
 * two leaders, since a process can be suspended at any point: the actions of a leader must be safe beside a successor,
 * and [confirmLeadership] checks whether there is one. A process that finds its own address in the key has been
 * restarted; it replaces the key at once, under a new revision, instead of waiting until its former lease expires.
 * Followers do not read the store while the leader responds to them. Runs on one event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.LeaseId
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public sealed interface Leadership {
    /** Revision at which the leader took over; 0 when no leader is known. */
    public val since: Revision

    /** No leader is known. */
    public data object Unknown : Leadership {
        override val since: Revision get() = Revision(0)
    }

    /** Another process has been the leader since store revision [since]. */
    public data class Follower(val leader: Endpoint, override val since: Revision) : Leadership

    /** This process has been the leader since store revision [since]. */
    public data class Leader(override val since: Revision) : Leadership
}

/**
 * @param key key in the store.
 * @param self address of this process.
 * @param candidateIndex position among the candidates; it staggers their attempts to take over.
 * @param leaderAnswers true while the leader responds to this process.
 */
public class LeaderElection(
    private val store: StoreClient,
    loop: EventLoop,
    private val log: EventLog,
    private val key: String,
    private val self: Endpoint,
    private val candidateIndex: () -> Int,
    private val leaderAnswers: () -> Boolean,
    private val decoders: WireDecoders = WireDecoders,
    private val onChange: (Leadership) -> Unit,
) {
    private var lease: LeaseId? = null
    private var renewedAt: ClockReading? = null

    /** When to try to take over a vacant key; null unless it was found vacant. */
    private var campaignAt: Timestamp? = null
    private val steps = RepeatingTask(loop, "leader election", waitTime = ::timeToNextStep, work = ::step)

    /** Latest revision at which a process is known to have become the leader. */
    private var latestTerm = Revision(0)

    public var leadership: Leadership = Leadership.Unknown
        private set

    /** The leadership that [onChange] has handled last; null if it failed to. */
    private var handled: Leadership? = Leadership.Unknown

    public fun start(): Unit = steps.start(INITIAL_DELAY)

    /** Checks whether this process is still the leader at a moment after the call. */
    public fun confirmLeadership(done: (Boolean) -> Unit) {
        val since = (leadership as? Leadership.Leader)?.since ?: return done(false)
        store.post(StoreRequests.TRANSACTION_PATH, StoreRequests.compareRevision(key, since)) { result ->
            val status = result.get()?.status
            if (status == STATUS_CONFLICT) transitionTo(Leadership.Unknown)
            done(status == STATUS_OK)
        }
    }

    /** Handles the announcement that [leader] has been the leader since [since]. */
    public fun onAnnouncement(leader: Endpoint, since: Revision) {
        if (since > latestTerm && leader != self) transitionTo(Leadership.Follower(leader, since))
    }

    private fun timeToNextStep(): Duration = campaignAt?.let { it - store.clock.now() }
        ?: if (leadership is Leadership.Leader) RENEW_INTERVAL else READ_INTERVAL

    private fun step(turn: RepeatingTask.Turn) {
        // A change that could not be handled is handled again; the lease is renewed meanwhile.
        guarded("leadership", ::handleChange)
        if (campaignAt != null) {
            campaignAt = null
            return campaignIfVacant(turn)
        }
        when (leadership) {
            is Leadership.Leader -> renew(turn)
            is Leadership.Follower -> if (leaderAnswers()) turn.end() else readLeader(turn)
            is Leadership.Unknown -> readLeader(turn)
        }
    }

    private fun readLeader(turn: RepeatingTask.Turn) {
        // Without a known leader, a stale read would return the previous state and delay the election.
        val path = if (leadership is Leadership.Unknown) {
            StoreRequests.readPath(key)
        } else {
            StoreRequests.staleReadPath(key)
        }
        store.get(
            path,
            turn.step { result ->
                val answer = result.get()
                if (answer?.status == STATUS_OK) return@step onLeaderFound(answer.body, turn)
                if (answer?.status == STATUS_NOT_FOUND) {
                    campaignAt = store.clock.now() + CANDIDATE_DELAY * candidateIndex()
                }
                turn.end()
            },
        )
    }

    private fun onLeaderFound(body: String, turn: RepeatingTask.Turn) {
        val stored = decoders.storedValue(body).getOrElse {
            log.log(LogEvent.LEADER_UNREADABLE, "key" to key, "detail" to it.detail)
            return turn.end()
        }
        val leader = Endpoint.parse(stored.text)
        if (leader == self) return campaign(replacing = stored.revision, turn)
        // A stale read may return an earlier leader.
        if (leader != null && stored.revision >= latestTerm) transitionTo(Leadership.Follower(leader, stored.revision))
        turn.end()
    }

    private fun campaignIfVacant(turn: RepeatingTask.Turn) {
        val leaderAlive = leadership is Leadership.Follower && leaderAnswers()
        if (leaderAlive) turn.end() else campaign(replacing = null, turn)
    }

    /** Tries to become the leader, if there is none or by replacing the key of this process's previous run. */
    private fun campaign(replacing: Revision?, turn: RepeatingTask.Turn) {
        val requestedAt = store.clock.read()
        store.post(
            StoreRequests.LEASE_PATH,
            StoreRequests.grantLease(LEASE_TIME),
            done = turn.step { result ->
                val granted = result.successBody()?.let { decoders.lease(it).get() }
                if (granted == null) turn.end() else takeOver(replacing, granted, requestedAt, turn)
            },
        )
    }

    private fun takeOver(
        replacing: Revision?,
        granted: LeaseId,
        requestedAt: ClockReading,
        turn: RepeatingTask.Turn,
    ) {
        val write = StoreRequests.replaceWithLease(key, replacing, self.toString(), granted)
        store.post(
            StoreRequests.TRANSACTION_PATH,
            write,
            done = turn.lastStep { written ->
                // The answer to an earlier write would name an earlier term.
                val since =
                    written.successBody()?.let { decoders.writeRevision(it).get() }?.takeIf { it > latestTerm }
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
                        "millis" to store.clock.read().since(requestedAt).inWholeMilliseconds,
                    )
                }
            },
        )
    }

    private fun renew(turn: RepeatingTask.Turn) {
        val held = lease
        val last = renewedAt
        val now = store.clock.read()
        if (held == null || last == null || now.since(last) > LEASE_TIME * TRUSTED_LEASE_FRACTION) {
            transitionTo(Leadership.Unknown)
            return turn.end()
        }
        store.post(
            StoreRequests.renewLeasePath(held),
            "",
            done = turn.lastStep { result ->
                val status = result.get()?.status
                if (status == STATUS_OK) renewedAt = now
                if (status == STATUS_NOT_FOUND) transitionTo(Leadership.Unknown)
            },
        )
    }

    private fun transitionTo(next: Leadership) {
        if (next == leadership) return
        latestTerm = maxOf(latestTerm, next.since)
        if (leadership is Leadership.Leader || next is Leadership.Leader) {
            log.log(LogEvent.LEADERSHIP_CHANGED, "key" to key, "before" to leadership, "now" to next)
        }
        leadership = next
        handleChange()
    }

    private fun handleChange() {
        val current = leadership
        if (handled == current) return
        handled = null
        onChange(current)
        handled = current
    }

    private companion object {
        /** Limits the time without a coordinator to a few seconds, the time in which demand shifts. */
        val LEASE_TIME: Duration = 2.seconds

        /** Fraction of the lease after which its holder no longer relies on it. */
        const val TRUSTED_LEASE_FRACTION = 0.8
        val RENEW_INTERVAL: Duration = 500.milliseconds
        val READ_INTERVAL: Duration = 600.milliseconds
        val INITIAL_DELAY: Duration = 50.milliseconds

        /** A few times the duration of taking the key and announcing it, on a busy small instance. */
        val CANDIDATE_DELAY: Duration = 60.milliseconds
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 412
    }
}
