/** Decides whether a request is sent, queued or refused immediately. */
package org.jujubelead.core.admission

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @property serviceTime time from sending a request to its first token on a target that is not overloaded. A request is
 * not sent later than this time before its deadline.
 * @property reserve fraction of the capacity withheld from workspaces that offer more than their fair share, so that
 * requests of other workspaces do not have to wait. The reserve is available to all while the total offered load fits.
 * @property maxQueued maximum number of queued requests per workspace.
 */
public data class AdmissionPolicy(
    val serviceTime: Duration = 300.milliseconds,
    val reserve: Double = 0.15,
    val maxQueued: Int = 1000,
) {
    public fun decide(request: AdmissionRequest, state: AdmissionState, now: Timestamp): AdmissionDecision {
        state.recordArrival(request.workspace, now)
        val limits = state.limitsOf(request.workspace)
        val own = state.inProgress(request.workspace)
        val waiting = state.waiting(request.workspace)
        val latestStart = request.deadline - serviceTime
        return when {
            latestStart < now -> AdmissionDecision.Refuse(
                AdmissionRefusal.DEADLINE,
                now + expectedWait(request, state, now),
            )

            own >= limits.maxInProgress ->
                AdmissionDecision.Refuse(AdmissionRefusal.WORKSPACE_LIMIT, now + expectedWait(request, state, now))

            waiting == 0 && state.inProgress < inProgressLimit(request.workspace, state, now) -> AdmissionDecision.Admit

            waiting >= maxQueued ->
                AdmissionDecision.Refuse(AdmissionRefusal.QUEUE_FULL, now + expectedWait(request, state, now))

            now + expectedWait(request, state, now) > latestStart ->
                AdmissionDecision.Refuse(AdmissionRefusal.DEADLINE, now + expectedWait(request, state, now))

            else -> AdmissionDecision.Queue(latestStart)
        }
    }

    /**
     * Limit of the total requests in progress below which another request of [workspace] may be sent. Part of the
     * reserve is withheld only from a workspace that offers more than its fair share and uses more than its guaranteed
     * share.
     */
    internal fun inProgressLimit(workspace: WorkspaceId, state: AdmissionState, now: Timestamp): Int {
        val capacity = state.capacity
        val unreserved = capacity * (1 - reserve)
        val guaranteed = capacity * state.limitsOf(workspace).weight / state.activeWeightWith(workspace)
        if (state.inProgress < unreserved || state.inProgress(workspace) + 1 <= guaranteed) return capacity
        return (capacity * (1 - reserve * state.withheldReserve(workspace, now))).toInt().coerceAtLeast(1)
    }

    /**
     * Expected time until another request of the workspace is sent. Freed capacity is distributed by weight to the
     * workspaces with queued requests, so each of them gets at most its proportion of what this workspace gets.
     */
    private fun expectedWait(request: AdmissionRequest, state: AdmissionState, now: Timestamp): Duration {
        val rate = state.serviceRate(now) ?: return Duration.ZERO
        val weight = state.limitsOf(request.workspace).weight
        val own = state.waiting(request.workspace) + 1
        val others = state.waitingUsages.sumOf { other ->
            if (other.workspace ==
                request.workspace
            ) {
                0.0
            } else {
                minOf(other.waiting.toDouble(), own * other.limits.weight / weight)
            }
        }
        return ((own + others) / rate).seconds.coerceAtMost(MAX_WAIT)
    }

    private companion object {
        val MAX_WAIT = 60.seconds
    }
}
