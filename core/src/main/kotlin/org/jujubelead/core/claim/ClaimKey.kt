/** Hashes that identify a claimed key and the request it was used for. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest

/** The first 128 bits of the SHA-256 of workspace, service and idempotency key. */
public data class ClaimKey(val high: Long, val low: Long) {
    /** Index of the shard that the key belongs to. */
    public fun shard(shards: Int): Int = Math.floorMod(high, shards)

    public companion object {
        public fun of(workspace: WorkspaceId, service: ServiceId, idempotencyKey: String): ClaimKey {
            val hash = sha256(listOf(workspace.value, service.value, idempotencyKey).map { it.toByteArray() })
            return ClaimKey(high = hash.getLong(), low = hash.getLong())
        }
    }
}

/** The first 64 bits of the SHA-256 of method, path and body. Detects reuse of a key for a different request. */
@JvmInline
public value class RequestHash(public val value: Long) {
    public companion object {
        public fun of(method: String, path: String, body: ByteArray): RequestHash =
            RequestHash(sha256(listOf(method.toByteArray(), path.toByteArray(), body)).getLong())
    }
}

/** Prefixes each part with its length, so that different lists of parts never produce the same input. */
private fun sha256(parts: List<ByteArray>): ByteBuffer {
    val digest = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
        digest.update(part)
    }
    return ByteBuffer.wrap(digest.digest())
}
