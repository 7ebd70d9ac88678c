/** Encoding of the records of the claim log with the schema in `claims.proto`. */
package org.jujubelead.claims

import org.jujubelead.core.claim.Claim
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.ClaimChunk
import org.jujubelead.protocol.ClaimLogEntry
import org.jujubelead.protocol.ClaimPlace
import org.jujubelead.protocol.ClaimRecord
import org.jujubelead.protocol.ShardOwner
import kotlin.time.Instant

private const val MICROS_PER_MILLI = 1_000L

internal fun LogEntry.encode(): ByteArray {
    val places = PlaceTable()
    val records = claims.map { it.toRecord(places).build() }
    return ClaimLogEntry.newBuilder()
        .setSequence(sequence)
        .setOperation(operation.value)
        .setOwner(owner.value)
        .addAllPlaces(places.toList())
        .addAllClaims(records)
        .build()
        .toByteArray()
}

internal fun decodeEntry(bytes: ByteArray): LogEntry {
    val message = ClaimLogEntry.parseFrom(bytes)
    return LogEntry(
        sequence = message.sequence,
        operation = OperationId(message.operation),
        owner = InstanceId(message.owner),
        claims = message.claimsList.map { it.toClaim(message.placesList) },
    )
}

internal fun Chunk.encode(): ByteArray {
    val places = PlaceTable()
    val records = claims.map { it.claim.toRecord(places).setSequence(it.sequence).build() }
    return ClaimChunk.newBuilder()
        .setFirst(first)
        .setLast(last)
        .addAllPlaces(places.toList())
        .addAllClaims(records)
        .build()
        .toByteArray()
}

internal fun decodeChunk(bytes: ByteArray): Chunk {
    val message = ClaimChunk.parseFrom(bytes)
    return Chunk(
        first = message.first,
        last = message.last,
        claims = message.claimsList.map { LoggedClaim(it.sequence, it.toClaim(message.placesList)) },
    )
}

internal fun InstanceId.encodeOwner(): ByteArray = ShardOwner.newBuilder().setInstance(value).build().toByteArray()

internal fun decodeOwner(bytes: ByteArray): InstanceId = InstanceId(ShardOwner.parseFrom(bytes).instance)

/** Assigns an index to each pair of target and incarnation, so that a record stores each pair only once. */
private class PlaceTable {
    private val indexes = LinkedHashMap<Pair<InstanceId, Incarnation>, Int>()

    fun indexOf(target: InstanceId, incarnation: Incarnation): Int =
        indexes.getOrPut(target to incarnation) { indexes.size }

    fun toList(): List<ClaimPlace> = indexes.keys.map { (target, incarnation) ->
        ClaimPlace.newBuilder().setTarget(target.value).setIncarnation(incarnation.value).build()
    }
}

private fun Claim.toRecord(places: PlaceTable): ClaimRecord.Builder = ClaimRecord.newBuilder()
    .setKeyHigh(key.high)
    .setKeyLow(key.low)
    .setRequestHash(requestHash.value)
    .setAttemptId(holder.attempt.value)
    .setPlace(places.indexOf(holder.target, holder.incarnation))
    .setTickMs(holder.tick.micros / MICROS_PER_MILLI)
    .setExpiresS(expiresAt.epochSeconds)

private fun ClaimRecord.toClaim(places: List<ClaimPlace>): Claim {
    val place = places[place]
    return Claim(
        key = ClaimKey(keyHigh, keyLow),
        requestHash = RequestHash(requestHash),
        holder = ClaimedAttempt(
            attempt = AttemptId(attemptId),
            target = InstanceId(place.target),
            incarnation = Incarnation(place.incarnation),
            tick = Timestamp(tickMs * MICROS_PER_MILLI),
        ),
        expiresAt = Instant.fromEpochSeconds(expiresS),
    )
}
