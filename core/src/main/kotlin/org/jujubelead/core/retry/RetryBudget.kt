/**
 * How many retries an entry may make, per workspace and in total.
 *
 * Every request adds a part of a token to both buckets, and a retry takes one token from both. Buckets are bounded and
 * start full, so retries never exceed the ratio plus the bound over any time. With empty buckets the first failure of a
 * quiet deployment could not be retried, and a model stream could not move to another target. Mutable; owned by the
 * control thread.
 */
package org.jujubelead.core.retry

import org.jujubelead.core.ids.WorkspaceId

/**
 * @param totalRatio retries per request in total.
 * @param workspaceRatio retries per request of one workspace. Higher than [totalRatio], so that a workspace whose
 * target fails can use what others leave.
 * @param maxTotalTokens tokens kept in total.
 * @param maxWorkspaceTokens tokens kept per workspace.
 */
public class RetryBudget(
    private val totalRatio: Double = 0.1,
    private val workspaceRatio: Double = 0.2,
    private val maxTotalTokens: Double = 50.0,
    private val maxWorkspaceTokens: Double = 10.0,
) {
    private var total = maxTotalTokens
    private val workspaces = object : LinkedHashMap<WorkspaceId, Double>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<WorkspaceId, Double>): Boolean = size > MOST_WORKSPACES
    }

    /** Requests that were counted. */
    public var requests: Long = 0
        private set

    /** Retries that were allowed. */
    public var retries: Long = 0
        private set

    /** Counts a request of a caller. Retries are not counted. */
    public fun requestStarted(workspace: WorkspaceId) {
        requests++
        total = (total + totalRatio).coerceAtMost(maxTotalTokens)
        workspaces[workspace] =
            ((workspaces[workspace] ?: maxWorkspaceTokens) + workspaceRatio).coerceAtMost(maxWorkspaceTokens)
    }

    /** Takes a token for one retry; false when there is none. */
    public fun tryTake(workspace: WorkspaceId): Boolean {
        val own = workspaces[workspace] ?: maxWorkspaceTokens
        if (total < ONE || own < ONE) return false
        total -= 1
        workspaces[workspace] = own - 1
        retries++
        return true
    }

    private companion object {
        /** One token, less the rounding error of adding up tenths. */
        const val ONE = 1 - 1e-9
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MOST_WORKSPACES = 4096
    }
}
