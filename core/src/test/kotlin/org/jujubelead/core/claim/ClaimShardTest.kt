package org.jujubelead.core.claim

import org.jujubelead.core.claim.ClaimAnswer.Decided
import org.jujubelead.core.claim.ClaimAnswer.NotOwner
import org.jujubelead.core.claim.ClaimDecision.Granted
import org.jujubelead.core.claim.ClaimDecision.Held
import org.jujubelead.core.claim.ClaimDecision.Mismatch
import org.jujubelead.core.claim.ClaimDecision.Unavailable
import org.jujubelead.core.claim.ClaimDecision.Uncertain
import org.jujubelead.core.claim.ShardEffect.Answer
import org.jujubelead.core.claim.ShardEffect.Append
import org.jujubelead.core.claim.ShardMessage.Appended
import org.jujubelead.core.claim.ShardMessage.Ask
import org.jujubelead.core.claim.ShardMessage.Close
import org.jujubelead.core.claim.ShardMessage.NotAppended
import org.jujubelead.core.claim.ShardMessage.Superseded
import org.jujubelead.core.claim.ShardMessage.Wake
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ClaimShardTest {
    private var operations = 0
    private val index = ClaimIndex()
    private val shard = ClaimShard(index, ShardLimits(maxClaims = 3)) { OperationId("op-${++operations}") }
    private var now = Timestamp.ZERO + 1.seconds
    private var wall = Instant.fromEpochSeconds(1_000_000)

    private fun attempt(id: String) =
        ClaimedAttempt(AttemptId(id), InstanceId("t-$id"), Incarnation("1"), Timestamp.ZERO)

    private fun request(attempt: String, key: Long = 1, hash: Long = 1, replaces: String? = null) = ClaimRequest(
        key = ClaimKey(key, 0),
        requestHash = RequestHash(hash),
        claimant = attempt(attempt),
        replaces = replaces?.let(::AttemptId),
        retention = 24.hours,
    )

    private fun send(message: ShardMessage) = shard.handle(message, now, wall)

    private fun ask(ticket: Long, request: ClaimRequest, wait: Long = 1_000) =
        send(Ask(Ticket(ticket), request, deadline = now + wait.milliseconds))

    private fun List<ShardEffect>.answers() = filterIsInstance<Answer>().map { it.ticket.value to it.answer }

    private fun granted(attempt: String) = Decided(Granted(attempt(attempt)))

    /** Guards against a grant before the claim is in the log, and against granting a key to two attempts. */
    @Test
    fun `a key is granted after its entry is written, and held afterwards`() {
        expectThat(ask(1, request("a"))).hasSize(1)
        expectThat(ask(2, request("b"))).isEmpty()
        expectThat(send(Appended(OperationId("op-1"), 7)).answers())
            .containsExactly(1L to granted("a"), 2L to Decided(Held(attempt("a"))))
        expectThat(ask(3, request("a")).answers()).containsExactly(3L to granted("a"))
        expectThat(ask(4, request("c", hash = 2)).answers()).containsExactly(4L to Decided(Mismatch))
    }

    /** Guards against more than one write per shard in 50 ms. */
    @Test
    fun `claims that arrive during a write go into one later entry`() {
        ask(1, request("a", key = 1))
        ask(2, request("b", key = 2))
        ask(3, request("c", key = 3))
        expectThat(send(Appended(OperationId("op-1"), 0)).filterIsInstance<Append>()).isEmpty()
        now += 50.milliseconds
        expectThat(send(Wake).filterIsInstance<Append>().single().claims).hasSize(2)
    }

    /** Guards against reporting a claim with an unknown outcome as not claimed. */
    @Test
    fun `at its deadline a claim in flight is uncertain and a queued claim is unavailable`() {
        ask(1, request("a", key = 1), wait = 100)
        ask(2, request("b", key = 2), wait = 100)
        ask(3, request("c", key = 1), wait = 100)
        now += 100.milliseconds
        expectThat(send(Wake).answers()).containsExactly(
            1L to Decided(Uncertain),
            3L to Decided(Uncertain),
            2L to Decided(Unavailable),
        )
        send(Appended(OperationId("op-1"), 0))
        expectThat(ask(4, request("d", key = 1)).answers()).containsExactly(4L to Decided(Held(attempt("a"))))
    }

    /** Guards against a dispatch after a failed write, and against many writes during an outage. */
    @Test
    fun `a failed write refuses its claims and delays the next write`() {
        ask(1, request("a"))
        expectThat(send(NotAppended(OperationId("op-1"), retryAt = now + 5.seconds)).answers())
            .containsExactly(1L to Decided(Unavailable))
        expectThat(ask(2, request("b"), wait = 1_000).answers()).containsExactly(2L to Decided(Unavailable))
        expectThat(ask(3, request("b"), wait = 6_000)).isEmpty()
        expectThat(shard.wakeAt()).isEqualTo(now + 5.seconds)
    }

    /** Guards against grants by an owner after its successor has taken over. */
    @Test
    fun `a superseded owner grants no more claims`() {
        ask(1, request("a", key = 1))
        ask(2, request("b", key = 2))
        val successor = InstanceId("e-2")
        expectThat(send(Superseded(OperationId("op-1"), successor)).answers())
            .containsExactly(1L to NotOwner(successor), 2L to NotOwner(successor))
        expectThat(shard.isClosed).isTrue()
        expectThat(ask(3, request("c")).answers()).containsExactly(3L to NotOwner(successor))
    }

    /** Guards against losing the result of a write that is in flight when the shard is closed. */
    @Test
    fun `closing refuses queued claims and completes the write in flight`() {
        ask(1, request("a", key = 1))
        ask(2, request("b", key = 2))
        expectThat(send(Close(hint = null)).answers()).containsExactly(2L to NotOwner(null))
        expectThat(send(Appended(OperationId("op-1"), 0)).answers()).containsExactly(1L to granted("a"))
    }

    /** Guards against replacing an attempt other than the one that provably did not run. */
    @Test
    fun `only the attempt that holds the key can be replaced`() {
        ask(1, request("a"))
        send(Appended(OperationId("op-1"), 0))
        now += 50.milliseconds
        expectThat(ask(2, request("b", replaces = "x")).answers()).containsExactly(2L to Decided(Held(attempt("a"))))
        expectThat(ask(3, request("b", replaces = "a"))).hasSize(1)
        expectThat(ask(4, request("c", replaces = "a"))).isEmpty()
        expectThat(send(Appended(OperationId("op-2"), 1)).answers())
            .containsExactly(3L to granted("b"), 4L to Decided(Held(attempt("b"))))
    }

    /** Guards against dropping claims before they expire, and against unbounded memory. */
    @Test
    fun `a full index refuses claims until some expire`() {
        (1L..3L).forEach { index.apply(Claim(ClaimKey(it, 0), RequestHash(1), attempt("$it"), wall + 24.hours), it) }
        expectThat(ask(1, request("a", key = 9)).answers()).containsExactly(1L to Decided(Unavailable))
        wall += 24.hours
        send(Wake)
        expectThat(index.size).isEqualTo(3)
        wall += 1.hours
        send(Wake)
        expectThat(index.size).isEqualTo(0)
        expectThat(ask(2, request("a", key = 1))).hasSize(1)
    }

    /** Guards against an older claim from a snapshot chunk replacing a newer one. */
    @Test
    fun `the claim with the highest position wins in any order of replay`() {
        val key = ClaimKey(1, 0)
        index.apply(Claim(key, RequestHash(1), attempt("new"), wall + 1.hours), 5)
        index.apply(Claim(key, RequestHash(1), attempt("old"), wall + 1.hours), 4)
        expectThat(index.find(key, wall)?.holder?.attempt).isEqualTo(AttemptId("new"))
    }
}
