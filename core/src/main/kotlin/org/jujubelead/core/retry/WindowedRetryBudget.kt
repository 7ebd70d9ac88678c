/**
 * The share of one instance in a retry budget that all instances of a deployment keep together.
 *
 * A deployment allows a service, in any window, a ratio of its requests plus a fixed slack as retries. Each instance
 * uses only part of the ratio on its own requests and an even part of the slack, so that the sum holds without
 * exchanging messages, under uneven load and while instances come and go. Mutable; owned by one thread.
 */
package org.jujubelead.core.retry

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration

/**
 * @param window span over which the deployment counts.
 * @param ratio retries per request.
 * @param slack retries per window beside the ratio.
 */
public class WindowedRetryBudget(
    private val window: Duration,
    private val ratio: Double,
    private val slack: Double,
) {
    private val requests = ArrayDeque<Timestamp>()
    private val retries = ArrayDeque<Timestamp>()

    /** Counts a request of a caller. */
    public fun requestArrived(now: Timestamp) {
        requests.addLast(now)
        expire(now)
    }

    /** Takes one repeat; false when the window has none left. */
    public fun tryTake(now: Timestamp): Boolean {
        if (!available(now)) return false
        retries.addLast(now)
        return true
    }

    /** True when the window has a repeat left. */
    public fun available(now: Timestamp): Boolean {
        expire(now)
        return retries.size + 1 <= ratio * requests.size + slack
    }

    private fun expire(now: Timestamp) {
        val start = now - window
        while (requests.isNotEmpty() && requests.first() < start) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < start) retries.removeFirst()
    }
}
