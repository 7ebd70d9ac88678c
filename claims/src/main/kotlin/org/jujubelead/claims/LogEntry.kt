/** Records of the claim log. */
package org.jujubelead.claims

import org.jujubelead.core.claim.Claim
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import kotlin.time.Instant

/** An entry of the log. An entry without claims marks a take-over. */
internal data class LogEntry(
    val sequence: Long,
    val operation: OperationId,
    val owner: InstanceId,
    val claims: List<Claim>,
)

/** A claim and its position in the log. */
internal data class LoggedClaim(val sequence: Long, val claim: Claim)

/** A compacted range of the log: the claims of the entries from [first] to [last], both inclusive. */
internal data class Chunk(val first: Long, val last: Long, val claims: List<LoggedClaim>) {
    val ref: ChunkRef get() = ChunkRef(first, last, claims.maxOfOrNull { it.claim.expiresAt } ?: Instant.DISTANT_PAST)
}

/** Reference to a stored chunk. [expiresAt] is the latest expiry time of its claims. */
internal data class ChunkRef(val first: Long, val last: Long, val expiresAt: Instant)
