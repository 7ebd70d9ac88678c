package org.jujubelead.runtime.entry

import com.google.protobuf.ByteString
import org.jujubelead.core.claim.ClaimAnswer
import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.ClaimReply
import org.jujubelead.protocol.ClaimResult
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.hours

private val CLAIMANT = ClaimedAttempt(AttemptId("a"), InstanceId("i"), Incarnation("1"), Timestamp(7_000))
private val REQUEST = ClaimRequest(
    key = ClaimKey(high = Long.MIN_VALUE, low = -2),
    requestHash = RequestHash(-3),
    claimant = CLAIMANT,
    replaces = null,
    retention = 24.hours,
)

class ClaimMessagesTest {
    /** Guards against a claim that is changed by its encoding, which could let a call with the same key run twice. */
    @Test
    fun `requests are unchanged after a round trip`() {
        for (request in listOf(REQUEST, REQUEST.copy(replaces = AttemptId("b")))) {
            val message = request.toMessage(shard = 3)
            expectThat(message.shard).isEqualTo(3)
            expectThat(message.toRequest()).isEqualTo(request)
        }
    }

    /** Guards against a decision that is decoded as a different one. */
    @Test
    fun `answers are unchanged after a round trip`() {
        val decisions = listOf(
            ClaimDecision.Granted(CLAIMANT),
            ClaimDecision.Held(CLAIMANT),
            ClaimDecision.Mismatch,
            ClaimDecision.Unavailable,
            ClaimDecision.Uncertain,
        )
        val answers = decisions.map { ClaimAnswer.Decided(it) } +
            listOf(ClaimAnswer.NotOwner(null), ClaimAnswer.NotOwner(InstanceId("o")))
        expectThat(answers.map { it.toMessage().toAnswer() }).isEqualTo(answers)
    }

    /** Guards against malformed claims in the claim log. */
    @Test
    fun `malformed requests are decoded as null`() {
        val message = REQUEST.toMessage(shard = 0)
        val tooLong = "x".repeat(ClaimedAttempt.MAX_ID_LENGTH + 1)
        val malformed = listOf(
            message.toBuilder().setKeyHash(ByteString.copyFrom(ByteArray(15))),
            message.toBuilder().setRequestHash(ByteString.copyFrom(ByteArray(9))),
            message.toBuilder().setAttemptId(""),
            message.toBuilder().setAttemptId(tooLong),
            message.toBuilder().setTarget(tooLong),
            message.toBuilder().setIncarnation(tooLong),
        )
        malformed.forEach { expectThat(it.build().toRequest()).isNull() }
    }

    /** Guards against an exception in the owner's handler for a message that it should reject. */
    @Test
    fun `a request with an unprintable id is decoded as null`() {
        expectThat(REQUEST.toMessage(shard = 0).toBuilder().setAttemptId("a b").build().toRequest()).isNull()
    }

    /** Guards against a reply without a known result that is treated as a decision. */
    @Test
    fun `a reply without a known result is decoded as null`() {
        expectThat(ClaimReply.getDefaultInstance().toAnswer()).isNull()
        expectThat(ClaimReply.newBuilder().setResultValue(99).build().toAnswer()).isNull()
    }

    /** Guards against an exception on a malformed reply, which would leave the caller without an outcome. */
    @Test
    fun `a granted reply with a malformed attempt is decoded as null`() {
        val reply = ClaimReply.newBuilder().setResult(ClaimResult.GRANTED).setAttemptId("a b")
        expectThat(reply.build().toAnswer()).isNull()
    }
}
