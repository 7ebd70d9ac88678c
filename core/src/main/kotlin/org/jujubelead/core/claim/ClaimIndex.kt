/** The claims of one shard that have not expired. */
package org.jujubelead.core.claim

import java.util.ArrayDeque
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * The index. Claims are applied in any order; the one with the highest position in the log wins.
 *
 * @param clockMargin claims are kept this much longer than their retention, because instances compare the expiry with
 *   their own wall clocks.
 */
public class ClaimIndex(private val clockMargin: Duration = 5.minutes) {
    private class Slot(val claim: Claim, val sequence: Long)

    private val slots = HashMap<ClaimKey, Slot>()

    // Retention is nearly the same for all claims, so the order of arrival is nearly the order of expiry. A claim with
    // a shorter retention stays a little longer in memory than it has to.
    private val byArrival = ArrayDeque<Slot>()

    public val size: Int get() = slots.size

    /** Records a claim written at [sequence]. */
    public fun apply(claim: Claim, sequence: Long) {
        val known = slots[claim.key]
        if (known != null && known.sequence >= sequence) return
        val slot = Slot(claim, sequence)
        slots[claim.key] = slot
        byArrival += slot
    }

    /** The claim that holds [key] at [wall]. */
    public fun find(key: ClaimKey, wall: Instant): Claim? =
        slots[key]?.claim?.takeIf { !isExpired(it.expiresAt, wall) }

    /** Drops expired claims. */
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

    /** True when everything that expires at [expiresAt] is forgotten. */
    public fun isExpired(expiresAt: Instant, wall: Instant): Boolean = expiresAt + clockMargin <= wall
}
