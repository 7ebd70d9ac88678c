/** In-memory index of the claims of one shard that have not expired. */
package org.jujubelead.core.claim

import java.util.ArrayDeque
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Claims may be applied in any order; for each key, the claim with the highest position in the log wins.
 *
 * @param clockMargin time that claims are kept beyond their expiry, because each instance compares the expiry with its
 *   own wall clock.
 */
public class ClaimIndex(private val clockMargin: Duration = 5.minutes) {
    private class Slot(val claim: Claim, val sequence: Long)

    private val slots = HashMap<ClaimKey, Slot>()

    // All claims have nearly the same retention, so arrival order approximates expiry order. A claim with a shorter
    // retention stays in memory until the claims before it have expired.
    private val byArrival = ArrayDeque<Slot>()

    public val size: Int get() = slots.size

    /** Adds a claim that was written at position [sequence] of the log. */
    public fun apply(claim: Claim, sequence: Long) {
        val known = slots[claim.key]
        if (known != null && known.sequence >= sequence) return
        val slot = Slot(claim, sequence)
        slots[claim.key] = slot
        byArrival += slot
    }

    /** Returns the claim that holds [key] at wall-clock time [wall], or null. */
    public fun find(key: ClaimKey, wall: Instant): Claim? =
        slots[key]?.claim?.takeIf { !isExpired(it.expiresAt, wall) }

    public fun expire(wall: Instant) {
        while (true) {
            val slot = byArrival.peekFirst() ?: return
            if (slots[slot.claim.key] === slot) {
                if (!isExpired(slot.claim.expiresAt, wall)) return
                slots.remove(slot.claim.key)
            }
            byArrival.removeFirst()
        }
    }

    /** True when a claim with expiry [expiresAt] may be dropped at [wall], with the margin for clock differences. */
    public fun isExpired(expiresAt: Instant, wall: Instant): Boolean = expiresAt + clockMargin <= wall
}
