package org.jujubelead.claims

import org.jujubelead.core.claim.Claim
import org.jujubelead.core.claim.ClaimIndex
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.time.Instant

class ShardLogTest {
    /** Returns a claim whose ids are unique and have the maximum length. */
    private fun claim(i: Int) = Claim(
        key = ClaimKey(i.toLong(), -1),
        requestHash = RequestHash(-1),
        holder = ClaimedAttempt(
            attempt = AttemptId("$i".padEnd(64, 'a')),
            target = InstanceId("$i".padEnd(64, 't')),
            incarnation = Incarnation("$i".padEnd(64, 'i')),
            tick = Timestamp(Long.MAX_VALUE / 1_000 * 1_000),
        ),
        expiresAt = Instant.fromEpochSeconds(4_000_000_000),
    )

    /** Guards against values above the size limit of the service, on which compaction would fail on every retry. */
    @Test
    fun `an entry of the maximum size fits the service and is compacted alone`() {
        val settings = ClaimSettings()
        val log = ShardLog(ClaimIndex(), settings)
        val claims = List(settings.limits.maxBatch, ::claim)
        repeat(2) {
            val entry = LogEntry(log.nextSequence, OperationId("op"), InstanceId("e"), claims)
            val bytes = entry.encode().also { expectThat(it.size).isLessThan(KeyValueStore.MAX_VALUE_BYTES) }
            expectThat(decodeEntry(bytes)).isEqualTo(entry)
            log.append(entry, bytes.size, Version(1))
        }
        val chunk = log.dueChunk()!!
        expectThat(chunk.last).isEqualTo(0)
        val bytes = chunk.encode().also { expectThat(it.size).isLessThan(KeyValueStore.MAX_VALUE_BYTES) }
        expectThat(decodeChunk(bytes)).isEqualTo(chunk)
        log.markCompacted(chunk)
        expectThat(log.dueChunk()).isNull()
    }

    /** Guards against an exception for a single entry above the maximum size of a chunk. */
    @Test
    fun `an entry above the maximum size of a chunk is compacted alone`() {
        val log = ShardLog(ClaimIndex(), ClaimSettings(maxChunkBytes = 10))
        repeat(2) {
            log.append(
                LogEntry(log.nextSequence, OperationId("$it"), InstanceId("e"), listOf(claim(it))),
                200,
                Version(1),
            )
        }
        expectThat(log.dueChunk()?.last).isEqualTo(0)
    }
}
