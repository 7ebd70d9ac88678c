/**
 * Elects a leader by a key in the store that is bound to the lease of its holder.
 *
 * The holder renews its lease, and by its own clock stops leading before the lease can expire. That does not exclude
 * two leaders, since a process can be suspended at any point: the actions of a leader must be safe beside a successor,
 * and [confirmLeadership] checks whether there is one. A process that finds its own address in the key has been
 * restarted; it replaces the key at once, under a new revision, instead of waiting until its former lease expires. The
 * same is done in a new era of the store, in which neither the key nor the lease of the holder can be relied on.
 * Followers do not read the store while the leader responds to them. Runs on one event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.core.store.Term
import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.Lease
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public sealed interface Leadership {
    /** Term of the leader; [Term.NONE] when no leader is known. */
    public val since: Term

    /** No leader is known. */
    public data object Unknown : Leadership {
        override val since: Term get() = Term.NONE
    }

    /** Another process has been the leader since it took over in term [since]. */
    public data class Follower(val leader: Endpoint, override val since: Term) : Leadership

    /** This process has been the leader since it took over in term [since]. */
    public data class Leader(override val since: Term) : Leadership
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
    private var lease: Lease? = null
    private var renewedAt: ClockReading? = null

    /** Revision of the key with which this process took over. */
    private var ownRevision: StoreRevision? = null

    /** When to try to take over a vacant key; null unless it was found vacant. */
    private var campaignAt: Timestamp? = null
    private val steps = RepeatingTask(loop, "leader election", waitTime = ::timeToNextStep, work = ::step)

    /** Term of the latest leader that was known. */
    private var latestTerm = Term.NONE

    public var leadership: Leadership = Leadership.Unknown
        private set

    /** The leadership that [onChange] has handled last; null if it failed to. */
    private var handled: Leadership? = Leadership.Unknown

    public fun start(): Unit = steps.start(INITIAL_DELAY)

    /** Takes no part any more. A lease that is held ends by itself. */
    public fun stop() {
        steps.stop()
        leadership = Leadership.Unknown
    }

    /** Checks whether this process is still the leader at a moment after the call. */
    public fun confirmLeadership(done: (Boolean) -> Unit) {
        val own = ownRevision
        if (leadership !is Leadership.Leader || own == null) return done(false)
        val comparison = StoreRequests.compareRevisions(mapOf(key to own), own.era)
        store.post(StoreRequests.TRANSACTION_PATH, comparison) { result ->
            val answer = result.get()
            val confirmed = answer?.status == STATUS_OK && answer.era == own.era
            val replaced = answer?.status == STATUS_CONFLICT || (answer != null && answer.era > own.era)
            if (replaced && ownRevision == own) transitionTo(Leadership.Unknown)
            done(confirmed)
        }
    }

    /** Handles the announcement that [leader] has been the leader since term [since]. */
    public fun onAnnouncement(leader: Endpoint, since: Term) {
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
                if (answer?.status == STATUS_OK) return@step onLeaderFound(answer, turn)
                if (answer?.status == STATUS_NOT_FOUND) {
                    campaignAt = store.clock.now() + CANDIDATE_DELAY * candidateIndex()
                }
                turn.end()
            },
        )
    }

    private fun onLeaderFound(answer: StoreAnswer, turn: RepeatingTask.Turn) {
        val stored = decoders.storedValue(answer.body, answer.era).getOrElse {
            log.log(LogEvent.LEADER_UNREADABLE, "key" to key, "detail" to it.detail)
            return turn.end()
        }
        val leader = Endpoint.parse(stored.text)
        if (leader == self) return campaign(replacing = stored.revision, turn)
        // A stale read may return an earlier leader.
        val since = stored.revision.term
        if (leader != null && since >= latestTerm) transitionTo(Leadership.Follower(leader, since))
        turn.end()
    }

    private fun campaignIfVacant(turn: RepeatingTask.Turn) {
        val leaderAlive = leadership is Leadership.Follower && leaderAnswers()
        if (leaderAlive) turn.end() else campaign(replacing = null, turn)
    }

    /** Tries to become the leader, if there is none or by replacing the key of this process's previous run. */
    private fun campaign(replacing: StoreRevision?, turn: RepeatingTask.Turn) {
        val requestedAt = store.clock.read()
        store.post(
            StoreRequests.LEASE_PATH,
            StoreRequests.grantLease(LEASE_TIME),
            done = turn.step { result ->
                val granted = result.success()?.let { decoders.lease(it.body, it.era).get() }
                if (granted == null) turn.end() else takeOver(replacing, granted, requestedAt, turn)
            },
        )
    }

    private fun takeOver(
        replacing: StoreRevision?,
        granted: Lease,
        requestedAt: ClockReading,
        turn: RepeatingTask.Turn,
    ) {
        val write = StoreRequests.replaceWithLease(key, replacing, self.toString(), granted)
        store.post(
            StoreRequests.TRANSACTION_PATH,
            write,
            done = turn.lastStep { written ->
                // The answer to an earlier write would name an earlier term, and a lease of an earlier era is gone.
                val own = written.success()?.let { decoders.writeRevision(it.body, it.era).get() }
                    ?.takeIf { it.term > latestTerm && it.era == granted.era }
                if (own != null) {
                    lease = granted
                    renewedAt = requestedAt
                    ownRevision = own
                    transitionTo(Leadership.Leader(own.term))
                } else {
                    log.log(
                        LogEvent.ELECTION_LOST,
                        "key" to key,
                        "replacing" to replacing?.number,
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
            done = turn.step { result ->
                val answer = result.get()
                if (answer != null && answer.era > held.era) return@step takeOverInNewEra(turn)
                if (answer?.status == STATUS_OK) renewedAt = now
                if (answer?.status == STATUS_NOT_FOUND) transitionTo(Leadership.Unknown)
                turn.end()
            },
        )
    }

    /** Takes the key again if it is vacant or names this process; the lease may be another one by now. */
    private fun takeOverInNewEra(turn: RepeatingTask.Turn) {
        transitionTo(Leadership.Unknown)
        store.get(
            StoreRequests.readPath(key),
            turn.step { result ->
                val answer = result.get()
                when (answer?.status) {
                    STATUS_OK -> onLeaderFound(answer, turn)
                    STATUS_NOT_FOUND -> campaign(replacing = null, turn)
                    else -> turn.end()
                }
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
