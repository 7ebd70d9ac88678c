/**
 * Retry budget of an entry, per workspace and in total.
 *
 * Each request adds a fraction of a token to the workspace's bucket and to the total bucket; a retry takes one token
 * from both. Buckets have a maximum and start full, so over any period the number of retries is at most the ratio times
 * the requests plus the bucket size. If buckets started empty, the first failure in a deployment with little traffic
 * could not be retried, and a model stream could not move to another target. Not thread-safe: confined to the control
 * thread.
 */
package org.jujubelead.core.retry

import org.jujubelead.core.ids.WorkspaceId

/**
 * @param totalRatio retries per request over all workspaces.
 * @param workspaceRatio retries per request of one workspace. It is higher than [totalRatio], so that a workspace whose
 * target fails can use the part of the budget that other workspaces do not need.
 * @param maxTotalTokens size of the total bucket.
 * @param maxWorkspaceTokens size of each workspace's bucket.
 */
public class RetryBudget(
    private val totalRatio: Double = 0.1,
    private val workspaceRatio: Double = 0.2,
    private val maxTotalTokens: Double = 50.0,
    private val maxWorkspaceTokens: Double = 10.0,
) {
    private var total = maxTotalTokens
    private val workspaces = object : LinkedHashMap<WorkspaceId, Double>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<WorkspaceId, Double>): Boolean = size > MAX_WORKSPACES
    }

    /** Number of requests so far. */
    public var requests: Long = 0
        private set

    /** Number of retries granted so far. */
    public var retries: Long = 0
        private set

    /** Adds the tokens for a request of a caller. Not called for retries. */
    public fun requestStarted(workspace: WorkspaceId) {
        requests++
        total = (total + totalRatio).coerceAtMost(maxTotalTokens)
        workspaces[workspace] =
            ((workspaces[workspace] ?: maxWorkspaceTokens) + workspaceRatio).coerceAtMost(maxWorkspaceTokens)
    }

    /** Takes a token for one retry; returns false when the budget is exhausted. */
    public fun tryTake(workspace: WorkspaceId): Boolean {
        val own = workspaces[workspace] ?: maxWorkspaceTokens
        if (total < ONE_TOKEN || own < ONE_TOKEN) return false
        total -= 1
        workspaces[workspace] = own - 1
        retries++
        return true
    }

    private companion object {
        /** One token, minus a tolerance for the rounding errors of the summed ratios. */
        const val ONE_TOKEN = 1 - 1e-9
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_WORKSPACES = 4096
    }
}
