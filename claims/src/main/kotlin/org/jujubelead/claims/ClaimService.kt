/**
 * Claims of idempotency keys, as made by one entry instance.
 *
 * An instance normally finds the owner of a shard without reading the key-value service: it calls the last known owner
 * and then the candidates in order. An instance that is not the owner replies with the owner it knows of (candidates
 * read the owner record when they fail to acquire the lease). Only if no instance knows the owner is the owner record
 * read, at most once per second for each shard.
 */
package org.jujubelead.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.KeyValueStore
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Claims idempotency keys, and serves the claims of the shards that this instance owns.
 *
 * @param members returns the live instances known to this one, including itself.
 * @param context a single-threaded dispatcher. All mutable state is confined to its thread.
 */
public class ClaimService(
    private val self: InstanceId,
    private val incarnation: Incarnation,
    private val store: KeyValueStore,
    private val peers: ClaimPeers,
    private val members: () -> List<ClaimMember>,
    private val settings: ClaimSettings,
    private val clock: ClaimClock,
    private val random: Random,
    private val context: CoroutineContext,
    private val onTakeOver: (TakeOver) -> Unit = {},
) {
    private val knownOwners = HashMap<Int, InstanceId>()
    private val lastOwnerReadAt = HashMap<Int, Timestamp>()
    private var leaving = false
    private val runners = List(settings.shards) { shard ->
        ShardRunner(
            shard = shard,
            self = self,
            incarnation = incarnation,
            keyValue = store,
            settings = settings,
            clock = clock,
            random = random,
            isCandidate = { !leaving && self in candidatesOf(shard) },
            onTakeOver = onTakeOver,
        )
    }

    /** Competes for the ownership of shards and serves the owned ones until it is cancelled. */
    public suspend fun run(): Unit = withContext(context) {
        coroutineScope { runners.forEach { runner -> launch { runner.run() } } }
    }

    /** Releases all shards once their in-flight log entries are settled, and acquires none again. Used by a drain. */
    public suspend fun leave(): Unit = withContext(context) { leaving = true }

    /**
     * Answers a claim that a peer sent to this instance as the owner of [shard]. [timeLeft] is how long the peer waits.
     * The deadline is three quarters of it, because an answer that arrives too late leaves the peer with an uncertain
     * claim.
     */
    public suspend fun answer(shard: Int, request: ClaimRequest, timeLeft: Duration): ClaimAnswer =
        withContext(context) {
            val inRange = shard in runners.indices && request.key.shard(settings.shards) == shard
            val deadline = clock.now() + minOf(timeLeft, settings.claimTimeout) * ANSWER_TIMEOUT_FRACTION
            if (inRange) claimLocally(shard, request, deadline) else ClaimAnswer.NotOwner(hint = null)
        }

    /** Claims a key. Returns within [ClaimSettings.claimTimeout]. */
    public suspend fun claim(request: ClaimRequest): ClaimDecision = withContext(context) {
        val search = OwnerSearch(request, newDeadline())
        search.run()
    }

    private fun newDeadline() = clock.now() + settings.claimTimeout

    private fun candidatesOf(shard: Int) = selectCandidates(shard, members(), settings.candidateCount)

    private suspend fun claimLocally(shard: Int, request: ClaimRequest, deadline: Timestamp): ClaimAnswer =
        runners[shard].claim(request, deadline)

    /** Finds the owner of the shard for one claim and sends it the claim. */
    private inner class OwnerSearch(private val request: ClaimRequest, private val deadline: Timestamp) {
        private val shard = request.key.shard(settings.shards)
        private val contacted = HashSet<InstanceId>()

        // Set once an answer is lost: that peer may have logged the claim, whatever other peers answer.
        private var mayBeLogged = false

        suspend fun run(): ClaimDecision {
            var nextPeer = knownOwners[shard]
            // A call that is cut off by the deadline makes the claim uncertain, so no call starts shortly before it.
            while (deadline - clock.now() >= MIN_CALL_TIMEOUT) {
                val peer = nextPeer ?: nextCandidate() ?: readRecordedOwner()
                if (peer == null) {
                    contacted.clear()
                    delay(minOf(jitter(SEARCH_RETRY_DELAY, random), deadline - clock.now()))
                    nextPeer = knownOwners[shard]
                    continue
                }
                contacted += peer
                nextPeer = null
                when (val answer = call(peer).fold(success = { it }, failure = { recordFailure(peer, it) })) {
                    null -> Unit

                    is ClaimAnswer.Decided -> {
                        knownOwners[shard] = peer
                        return finalDecision(answer.decision)
                    }

                    is ClaimAnswer.NotOwner -> {
                        knownOwners.remove(shard, peer)
                        nextPeer = answer.hint?.takeIf { it !in contacted }
                    }
                }
            }
            return finalDecision(ClaimDecision.Unavailable)
        }

        private suspend fun call(peer: InstanceId): Result<ClaimAnswer, PeerError> {
            if (peer == self) return Ok(claimLocally(shard, request, deadline))
            val left = deadline - clock.now()
            return withTimeoutOrNull(left) { peers.claim(peer, shard, request, left) }
                ?: Err(PeerError.Lost("no answer before the deadline of the claim"))
        }

        private fun recordFailure(peer: InstanceId, error: PeerError): ClaimAnswer? {
            if (error is PeerError.Lost) mayBeLogged = true
            knownOwners.remove(shard, peer)
            return null
        }

        private fun finalDecision(decision: ClaimDecision): ClaimDecision = when (decision) {
            ClaimDecision.Unavailable -> if (mayBeLogged) ClaimDecision.Uncertain else decision
            is ClaimDecision.Granted, is ClaimDecision.Held -> decision
            ClaimDecision.Mismatch, ClaimDecision.Uncertain -> decision
        }

        private fun nextCandidate(): InstanceId? = candidatesOf(shard).firstOrNull { it !in contacted }

        private suspend fun readRecordedOwner(): InstanceId? {
            val now = clock.now()
            if (lastOwnerReadAt[shard]?.let { now - it < MIN_OWNER_READ_INTERVAL } == true) return null
            lastOwnerReadAt[shard] = now
            val record = withTimeoutOrNull(deadline - now) {
                ShardStore(store, shard, settings.ringSize).readOwner()
            }
            return record?.get()?.second?.takeIf { it !in contacted }
        }
    }

    private companion object {
        val SEARCH_RETRY_DELAY = 100.milliseconds
        val MIN_OWNER_READ_INTERVAL = 1.seconds
        val MIN_CALL_TIMEOUT = 100.milliseconds
        const val ANSWER_TIMEOUT_FRACTION = 0.75
    }
}
