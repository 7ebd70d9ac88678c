/**
 * Requests in progress and waiting at one entry, per workspace, and the rate at which requests are completed.
 *
 * Mutable; owned by the control thread. Only workspaces with requests in progress or waiting take memory.
 */
package org.jujubelead.core.admission

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import kotlin.math.exp

/**
 * What the settings say about a workspace.
 *
 * @property weight share of the capacity relative to other workspaces.
 * @property mostInProgress limit of requests in progress at this entry.
 */
public data class WorkspaceLimits(val weight: Double = 1.0, val mostInProgress: Int = Int.MAX_VALUE)

/**
 * @param capacity requests that this entry may have in progress; see [capacityChanged].
 * @param limits limits of a workspace, from the settings.
 */
public class AdmissionState(capacity: Int, private val limits: (WorkspaceId) -> WorkspaceLimits) {
    internal class Usage(val workspace: WorkspaceId, var limits: WorkspaceLimits) {
        var inProgress = 0
        var waiting = 0
        val load: Double get() = inProgress / limits.weight
    }

    private val usages = HashMap<WorkspaceId, Usage>()
    private val waitingByWorkspace = LinkedHashMap<WorkspaceId, Usage>()
    private var completions = 0.0
    private var completionsAt = Timestamp.ZERO

    /** Requests that this entry may have in progress. */
    public var capacity: Int = capacity
        private set

    /** Requests in progress. */
    public var inProgress: Int = 0
        private set

    /** Requests waiting. */
    public var waiting: Int = 0
        private set

    /** Sum of the weights of the workspaces with requests in progress or waiting. */
    internal var activeWeight: Double = 0.0
        private set

    internal val waitingUsages: Collection<Usage> get() = waitingByWorkspace.values

    public fun inProgress(workspace: WorkspaceId): Int = usages[workspace]?.inProgress ?: 0

    public fun waiting(workspace: WorkspaceId): Int = usages[workspace]?.waiting ?: 0

    internal fun usage(workspace: WorkspaceId): Usage? = usages[workspace]

    internal fun limitsOf(workspace: WorkspaceId): WorkspaceLimits = limits(workspace)

    /** Completions per second, smoothed; null before the first. */
    public fun serviceRate(now: Timestamp): Double? =
        if (completions == 0.0) null else decayed(now) / RATE_SECONDS

    /** The targets' capacity or the number of entries that share it changed. */
    public fun capacityChanged(capacity: Int) {
        this.capacity = capacity
    }

    /** A request was sent, without waiting or after [next] named its workspace. */
    public fun started(workspace: WorkspaceId) {
        usageOf(workspace).inProgress++
        inProgress++
    }

    /** A request that was sent has ended. */
    public fun finished(workspace: WorkspaceId, now: Timestamp) {
        val usage = usages[workspace] ?: return
        if (usage.inProgress == 0) return
        usage.inProgress--
        inProgress--
        completions = decayed(now) + 1
        completionsAt = now
        forgetIfIdle(usage)
    }

    /** A request waits. */
    public fun queued(workspace: WorkspaceId) {
        val usage = usageOf(workspace)
        usage.waiting++
        waitingByWorkspace[workspace] = usage
        waiting++
    }

    /** A request waits no more: it goes on, was refused, or its caller left. */
    public fun unqueued(workspace: WorkspaceId) {
        val usage = usages[workspace] ?: return
        if (usage.waiting == 0) return
        usage.waiting--
        if (usage.waiting == 0) waitingByWorkspace.remove(workspace)
        waiting--
        forgetIfIdle(usage)
    }

    /** The workspace whose oldest waiting request goes on now; null when there is no room or none waits. */
    public fun next(): WorkspaceId? =
        if (inProgress >= capacity) {
            null
        } else {
            usages.values
                .filter { it.waiting > 0 && it.inProgress < it.limits.mostInProgress }
                .minByOrNull { it.load }?.workspace
        }

    private fun usageOf(workspace: WorkspaceId): Usage =
        usages.getOrPut(workspace) {
            Usage(workspace, limits(workspace)).also { activeWeight += it.limits.weight }
        }

    private fun forgetIfIdle(usage: Usage) {
        if (usage.inProgress > 0 || usage.waiting > 0) return
        usages.remove(usage.workspace)
        // Set to zero with the last one, so that rounding errors do not add up.
        activeWeight = if (usages.isEmpty()) 0.0 else activeWeight - usage.limits.weight
    }

    private fun decayed(now: Timestamp): Double =
        completions * exp(-(now.micros - completionsAt.micros) / (RATE_SECONDS * MICROS_PER_SECOND))

    private companion object {
        /** Completions are smoothed over this time. */
        const val RATE_SECONDS = 2.0
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}
