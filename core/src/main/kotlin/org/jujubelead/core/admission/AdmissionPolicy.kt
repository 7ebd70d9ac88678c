/** Whether a request is sent, waits, or is refused at once. */
package org.jujubelead.core.admission

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @property serviceTime time from sending to the first token on a target that is not overloaded; kept free before the
 * deadline.
 * @property reserve part of the capacity kept from workspaces that offer more than their fair share, so that the others
 * need not wait for their requests. It is lent out while all offered load fits.
 * @property maxQueued requests of one workspace that may wait.
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
     * Requests that may be in progress before another one of [workspace] is sent. Only a workspace that offers more
     * than its fair share and has more than its guaranteed one keeps off the reserve.
     */
    internal fun inProgressLimit(workspace: WorkspaceId, state: AdmissionState, now: Timestamp): Int {
        val all = state.capacity
        val least = all * (1 - reserve)
        val guaranteed = all * state.limitsOf(workspace).weight / state.activeWeightWith(workspace)
        if (state.inProgress < least || state.inProgress(workspace) + 1 <= guaranteed) return all
        return (all * (1 - reserve * state.withheldReserve(workspace, now))).toInt().coerceAtLeast(1)
    }

    /**
     * Expected time until a further request of the workspace is sent. Places that get free go to the waiting workspaces
     * by weight, so each of them gets at most its proportion of what this workspace gets meanwhile.
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
