/** Conversion between claims and the protocol messages that entries exchange. */
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
import org.jujubelead.protocol.ClaimReply
import org.jujubelead.protocol.ClaimResult
import org.jujubelead.runtime.agent.toTick
import org.jujubelead.runtime.agent.toTimestamp
import java.nio.ByteBuffer
import kotlin.time.Duration.Companion.seconds
import org.jujubelead.protocol.ClaimRequest as ClaimRequestMessage

private const val KEY_BYTES = 16
private const val REQUEST_HASH_BYTES = 8
private val PRINTABLE_ASCII = '!'..'~'

internal fun ClaimRequest.toMessage(shard: Int): ClaimRequestMessage = ClaimRequestMessage.newBuilder()
    .setShard(shard)
    .setKeyHash(bytes(key.high, key.low))
    .setRequestHash(bytes(requestHash.value))
    .setAttemptId(claimant.attempt.value)
    .setTarget(claimant.target.value)
    .setIncarnation(claimant.incarnation.value)
    .setTickMs(claimant.tick.toTick())
    .setReplacesAttempt(replaces?.value.orEmpty())
    .setRetentionS(retention.inWholeSeconds.toInt())
    .build()

/** Converts the message to a claim request; null if it is malformed. */
internal fun ClaimRequestMessage.toRequest(): ClaimRequest? {
    val hashesFit = keyHash.size() == KEY_BYTES && requestHash.size() == REQUEST_HASH_BYTES
    val idsFit = listOf(attemptId, target, incarnation).all(::isClaimId) &&
        (replacesAttempt.isEmpty() || isClaimId(replacesAttempt))
    if (!hashesFit || !idsFit) return null
    val key = ByteBuffer.wrap(keyHash.toByteArray())
    return ClaimRequest(
        key = ClaimKey(high = key.getLong(), low = key.getLong()),
        requestHash = RequestHash(ByteBuffer.wrap(requestHash.toByteArray()).getLong()),
        claimant = claimedAttempt(attemptId, target, incarnation, tickMs),
        replaces = replacesAttempt.takeIf { it.isNotEmpty() }?.let(::AttemptId),
        retention = retentionS.seconds,
    )
}

private fun isClaimId(text: String) =
    text.isNotEmpty() && text.length <= ClaimedAttempt.MAX_ID_LENGTH && text.all { it in PRINTABLE_ASCII }

internal fun ClaimAnswer.toMessage(): ClaimReply {
    val reply = ClaimReply.newBuilder()
    when (this) {
        is ClaimAnswer.NotOwner -> reply.setResult(ClaimResult.NOT_OWNER).setOwnerHint(hint?.value.orEmpty())

        is ClaimAnswer.Decided -> when (val d = decision) {
            is ClaimDecision.Granted -> reply.setResult(ClaimResult.GRANTED).setAttempt(d.permit)
            is ClaimDecision.Held -> reply.setResult(ClaimResult.HELD).setAttempt(d.holder)
            ClaimDecision.Mismatch -> reply.setResult(ClaimResult.MISMATCH)
            ClaimDecision.Unavailable -> reply.setResult(ClaimResult.UNAVAILABLE)
            ClaimDecision.Uncertain -> reply.setResult(ClaimResult.UNCERTAIN)
        }
    }
    return reply.build()
}

/** Converts the message to a claim answer; null if it is malformed. */
internal fun ClaimReply.toAnswer(): ClaimAnswer? = when (result) {
    ClaimResult.GRANTED -> attempt()?.let { ClaimAnswer.Decided(ClaimDecision.Granted(it)) }
    ClaimResult.HELD -> attempt()?.let { ClaimAnswer.Decided(ClaimDecision.Held(it)) }
    ClaimResult.MISMATCH -> ClaimAnswer.Decided(ClaimDecision.Mismatch)
    ClaimResult.UNAVAILABLE -> ClaimAnswer.Decided(ClaimDecision.Unavailable)
    ClaimResult.UNCERTAIN -> ClaimAnswer.Decided(ClaimDecision.Uncertain)
    ClaimResult.NOT_OWNER -> ClaimAnswer.NotOwner(ownerHint.takeIf { it.isNotEmpty() }?.let(::InstanceId))
    ClaimResult.CLAIM_RESULT_UNSPECIFIED, ClaimResult.UNRECOGNIZED, null -> null
}

private fun ClaimReply.Builder.setAttempt(claimed: ClaimedAttempt): ClaimReply.Builder =
    setAttemptId(claimed.attempt.value)
        .setTarget(claimed.target.value)
        .setIncarnation(claimed.incarnation.value)
        .setTickMs(claimed.tick.toTick())

private fun ClaimReply.attempt(): ClaimedAttempt? =
    if (listOf(attemptId, target, incarnation).all(::isClaimId)) {
        claimedAttempt(attemptId, target, incarnation, tickMs)
    } else {
        null
    }

private fun claimedAttempt(attempt: String, target: String, incarnation: String, tickMs: Long) = ClaimedAttempt(
    attempt = AttemptId(attempt),
    target = InstanceId(target),
    incarnation = Incarnation(incarnation),
    tick = tickMs.toTimestamp(),
)

private fun bytes(vararg values: Long): ByteString {
    val buffer = ByteBuffer.allocate(values.size * Long.SIZE_BYTES)
    values.forEach { buffer.putLong(it) }
    return ByteString.copyFrom(buffer.array())
}
