/**
 * One instance's share of a retry budget that applies to all instances of a deployment together.
 *
 * In any window, a deployment allows a service a number of retries: a ratio of its requests plus a fixed slack. Each
 * instance uses only part of the ratio for its own requests and an even part of the slack. The deployment's limit
 * therefore holds without coordination, under uneven load and while instances are added and removed. Not thread-safe.
 */
package org.jujubelead.core.retry

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration

/**
 * @param window length of the sliding window.
 * @param ratio retries per request.
 * @param slack this instance's share of the retries per window in addition to the ratio.
 */
public class WindowedRetryBudget(
    private val window: Duration,
    private val ratio: Double,
    private val slack: () -> Double,
) {
    private val requests = ArrayDeque<Timestamp>()
    private val retries = ArrayDeque<Timestamp>()

    /** Records a request of a caller. */
    public fun requestArrived(now: Timestamp) {
        requests.addLast(now)
        expire(now)
    }

    /** Number of requests that arrived within the window. */
    public fun requestsInWindow(now: Timestamp): Int {
        expire(now)
        return requests.size
    }

    /** Takes one retry; returns false when the budget of the window is exhausted. */
    public fun tryTake(now: Timestamp): Boolean {
        if (!available(now)) return false
        retries.addLast(now)
        return true
    }

    /** True when the window allows another retry. */
    public fun available(now: Timestamp): Boolean {
        expire(now)
        return retries.size + 1 <= ratio * requests.size + slack()
    }

    private fun expire(now: Timestamp) {
        val start = now - window
        while (requests.isNotEmpty() && requests.first() < start) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < start) retries.removeFirst()
    }
}
