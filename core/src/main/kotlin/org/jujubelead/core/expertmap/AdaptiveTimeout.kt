/**
 * Timeout that follows how long answers took recently.
 *
 * An answer that queues on a busy link comes late, but it comes. A fixed timeout shorter than that begins the work
 * again, which makes the queue longer. Not thread-safe; used on the control thread only.
 */
package org.jujubelead.core.expertmap

import kotlin.time.Duration

/**
 * @param min timeout while answers are fast.
 * @param max upper limit, whatever the answers take.
 */
public class AdaptiveTimeout(private val min: Duration, private val max: Duration) {
    private var slowest = Duration.ZERO

    public val current: Duration get() = (slowest * HEADROOM).coerceIn(min, max)

    /** Records a complete answer that [took] so long. */
    public fun answered(took: Duration) {
        slowest = maxOf(took, slowest * DECAY)
    }

    /** Records that no answer came within the timeout. */
    public fun expired() {
        slowest = current / HEADROOM * BACKOFF
    }

    private companion object {
        /** Ratio of the timeout to the slowest recent answer. */
        const val HEADROOM = 2.0

        /** A few dozen fast answers bring the timeout back down. */
        const val DECAY = 0.95
        const val BACKOFF = 1.5
    }
}
