/**
 * Claims of idempotency keys, for the entry this process is.
 *
 * An entry finds the owner of a shard without the key-value service: it asks the owner it knows of, then the candidates
 * in order. An instance that is not the owner answers with the owner it knows of (candidates read the owner record when
 * they fail to get the lease). Only when nobody knows does the entry read the owner record, at most once a second for
 * each shard.
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
 * The service.
 *
 * @param members current view of the live entries, this one included.
 * @param context a dispatcher of one thread, on which all state lives.
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
    private val owners = HashMap<Int, InstanceId>()
    private val ownerReadAt = HashMap<Int, Timestamp>()
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

    /** Owns shards for as long as it runs. Does not return. */
    public suspend fun run(): Unit = withContext(context) {
        coroutineScope { runners.forEach { runner -> launch { runner.run() } } }
    }

    /** Gives up all shards, after their entries in flight, and takes none again. For a drain. */
    public suspend fun leave(): Unit = withContext(context) { leaving = true }

    /**
     * Answers a claim that a peer sent here as the owner of [shard]. [timeLeft] is how long the peer waits. The answer
     * is given after three quarters of it at the latest: one that comes too late would leave the peer uncertain.
     */
    public suspend fun answer(shard: Int, request: ClaimRequest, timeLeft: Duration): ClaimAnswer =
        withContext(context) {
            val inRange = shard in runners.indices && request.key.shard(settings.shards) == shard
            val giveUpAt = clock.now() + minOf(timeLeft, settings.claimTimeout) * ANSWER_SHARE
            if (inRange) ask(shard, request, giveUpAt) else ClaimAnswer.NotOwner(hint = null)
        }

    /** Claims a key. Answers within [ClaimSettings.claimTimeout]. */
    public suspend fun claim(request: ClaimRequest): ClaimDecision = withContext(context) {
        val search = Search(request, giveUpAt())
        search.run()
    }

    private fun giveUpAt() = clock.now() + settings.claimTimeout

    private fun candidatesOf(shard: Int) = candidates(shard, members(), settings.candidates)

    private suspend fun ask(shard: Int, request: ClaimRequest, giveUpAt: Timestamp): ClaimAnswer =
        runners[shard].ask(request, giveUpAt)

    /** The search of one claim for the owner. */
    private inner class Search(private val request: ClaimRequest, private val giveUpAt: Timestamp) {
        private val shard = request.key.shard(settings.shards)
        private val asked = HashSet<InstanceId>()

        // Once an answer is lost, the claim may be recorded by whoever was asked, however others answer.
        private var mayBeRecorded = false

        suspend fun run(): ClaimDecision {
            var next = owners[shard]
            // A call cut off by the deadline would leave the claim uncertain, so none is started shortly before it.
            while (giveUpAt - clock.now() >= SHORTEST_CALL) {
                val peer = next ?: nextCandidate() ?: recordedOwner()
                if (peer == null) {
                    asked.clear()
                    delay(minOf(jitter(PAUSE, random), giveUpAt - clock.now()))
                    next = owners[shard]
                    continue
                }
                asked += peer
                next = null
                when (val answer = call(peer).fold(success = { it }, failure = { lost(peer, it) })) {
                    null -> Unit

                    is ClaimAnswer.Decided -> {
                        owners[shard] = peer
                        return settle(answer.decision)
                    }

                    is ClaimAnswer.NotOwner -> {
                        owners.remove(shard, peer)
                        next = answer.hint?.takeIf { it !in asked }
                    }
                }
            }
            return settle(ClaimDecision.Unavailable)
        }

        private suspend fun call(peer: InstanceId): Result<ClaimAnswer, PeerError> {
            if (peer == self) return Ok(ask(shard, request, giveUpAt))
            val left = giveUpAt - clock.now()
            return withTimeoutOrNull(left) { peers.claim(peer, shard, request, left) }
                ?: Err(PeerError.Lost("no answer in time"))
        }

        private fun lost(peer: InstanceId, error: PeerError): ClaimAnswer? {
            if (error is PeerError.Lost) mayBeRecorded = true
            owners.remove(shard, peer)
            return null
        }

        private fun settle(decision: ClaimDecision): ClaimDecision = when (decision) {
            ClaimDecision.Unavailable -> if (mayBeRecorded) ClaimDecision.Uncertain else decision
            is ClaimDecision.Granted, is ClaimDecision.Held -> decision
            ClaimDecision.Mismatch, ClaimDecision.Uncertain -> decision
        }

        private fun nextCandidate(): InstanceId? = candidatesOf(shard).firstOrNull { it !in asked }

        private suspend fun recordedOwner(): InstanceId? {
            val now = clock.now()
            if (ownerReadAt[shard]?.let { now - it < OWNER_READ_SPACING } == true) return null
            ownerReadAt[shard] = now
            val record = withTimeoutOrNull(giveUpAt - now) {
                ShardStore(store, shard, settings.ringSize).readOwner()
            }
            return record?.get()?.second?.takeIf { it !in asked }
        }
    }

    private companion object {
        val PAUSE = 100.milliseconds
        val OWNER_READ_SPACING = 1.seconds
        val SHORTEST_CALL = 100.milliseconds
        const val ANSWER_SHARE = 0.75
    }
}
