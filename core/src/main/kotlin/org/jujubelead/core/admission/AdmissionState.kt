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
 * @property maxInProgress limit of requests in progress at this entry.
 */
public data class WorkspaceLimits(val weight: Double = 1.0, val maxInProgress: Int = Int.MAX_VALUE)

/**
 * @param capacity requests that this entry may have in progress; see [capacityChanged].
 * @param limits limits of a workspace, from the settings.
 */
public class AdmissionState(capacity: Int, private val limits: (WorkspaceId) -> WorkspaceLimits) {
    internal class Usage(val workspace: WorkspaceId, var limits: WorkspaceLimits) {
        var inProgress = 0
        var waiting = 0
        val load: Double get() = inProgress / limits.weight
        val arrivals = DecayingRate(OFFERED_LOAD_TIME_CONSTANT_S)

        /** Requests that would be in progress if all were admitted. */
        fun offered(now: Timestamp, duration: Double): Double = arrivals.perSecond(now) * duration
    }

    private val usages = HashMap<WorkspaceId, Usage>()
    private val waitingByWorkspace = LinkedHashMap<WorkspaceId, Usage>()
    private val completions = DecayingRate(COMPLETION_RATE_TIME_CONSTANT_S)

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

    internal fun activeWeightWith(asking: WorkspaceId): Double =
        activeWeight + if (asking in usages) 0.0 else limits(asking).weight

    internal val waitingUsages: Collection<Usage> get() = waitingByWorkspace.values

    public fun inProgress(workspace: WorkspaceId): Int = usages[workspace]?.inProgress ?: 0

    public fun waiting(workspace: WorkspaceId): Int = usages[workspace]?.waiting ?: 0

    internal fun usage(workspace: WorkspaceId): Usage? = usages[workspace]

    internal fun limitsOf(workspace: WorkspaceId): WorkspaceLimits = limits(workspace)

    /** Completions per second, smoothed; null before the first. */
    public fun serviceRate(now: Timestamp): Double? =
        completions.perSecond(now).takeIf { it > 0.0 }

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
        completions.add(now)
        removeIfIdle(usage)
    }

    /** A request waits. */
    public fun queued(workspace: WorkspaceId) {
        val usage = usageOf(workspace)
        usage.waiting++
        waitingByWorkspace[workspace] = usage
        waiting++
    }

    /** A request waits no more: it goes on, was refused, or its caller left. */
    public fun dequeued(workspace: WorkspaceId) {
        val usage = usages[workspace] ?: return
        if (usage.waiting == 0) return
        usage.waiting--
        if (usage.waiting == 0) waitingByWorkspace.remove(workspace)
        waiting--
        removeIfIdle(usage)
    }

    /**
     * The workspace whose oldest waiting request goes on now; null when there is no room or none waits. It is the one
     * with the least in progress for its weight, and [policy] keeps its reserve for workspaces below their share.
     */
    public fun next(policy: AdmissionPolicy, now: Timestamp): WorkspaceId? {
        if (inProgress >= capacity) return null
        val least = waitingUsages
            .filter { it.inProgress < it.limits.maxInProgress }
            .minByOrNull { it.load } ?: return null
        return least.workspace.takeIf { inProgress < policy.inProgressLimit(it, this, now) }
    }

    /** Counts a request that asks to be admitted, so that the load a workspace offers is known. */
    internal fun recordArrival(workspace: WorkspaceId, now: Timestamp) {
        usages[workspace]?.arrivals?.add(now)
    }

    /**
     * How much of the reserve [workspace] keeps off, from 0 to 1. Zero when it offers no more than max-min fairness
     * gives it; otherwise it grows with the load that all offer, so that a large workspace is not held back below
     * saturation.
     */
    internal fun withheldReserve(workspace: WorkspaceId, now: Timestamp): Double {
        val usage = usages[workspace] ?: return 0.0
        val rate = serviceRate(now) ?: return 0.0
        val duration = inProgress / rate
        if (usage.offered(now, duration) <= maxMinFairLevel(now, duration) * usage.limits.weight) return 0.0
        val load = usages.values.sumOf { it.offered(now, duration) } / capacity
        return ((load - RESERVE_THRESHOLD) / (FULL_RESERVE_THRESHOLD - RESERVE_THRESHOLD)).coerceIn(0.0, 1.0)
    }

    /** Requests in progress per weight at which the capacity is used up when no workspace gets more than it offers. */
    private fun maxMinFairLevel(now: Timestamp, duration: Double): Double {
        var left = capacity * RESERVE_THRESHOLD
        var open = usages.values.map { it.limits.weight to it.offered(now, duration) }
        while (open.isNotEmpty()) {
            val level = left / open.sumOf { it.first }
            val (satisfied, unsatisfied) = open.partition { (weight, offered) -> offered <= level * weight }
            if (satisfied.isEmpty()) return level
            left -= satisfied.sumOf { it.second }
            open = unsatisfied
        }
        return Double.MAX_VALUE
    }

    private fun usageOf(workspace: WorkspaceId): Usage =
        usages.getOrPut(workspace) {
            Usage(workspace, limits(workspace)).also { activeWeight += it.limits.weight }
        }

    private fun removeIfIdle(usage: Usage) {
        if (usage.inProgress > 0 || usage.waiting > 0) return
        usages.remove(usage.workspace)
        // Set to zero with the last one, so that rounding errors do not add up.
        activeWeight = if (usages.isEmpty()) 0.0 else activeWeight - usage.limits.weight
    }

    private companion object {
        /** Completions are smoothed over this time. */
        const val COMPLETION_RATE_TIME_CONSTANT_S = 2.0

        /** The load that a workspace offers is smoothed over this time. With 20 s, a sudden load was seen too late. */
        const val OFFERED_LOAD_TIME_CONSTANT_S = 5.0

        /**
         * Offered load relative to the capacity from which on a reserve is kept. With all of the capacity, workspaces
         * within their share had 98.2 % on time in the archive workload at 1.25 times the capacity.
         */
        const val RESERVE_THRESHOLD = 0.9

        /** Offered load relative to the capacity from which on the whole reserve is kept. */
        const val FULL_RESERVE_THRESHOLD = 0.95
    }
}

/** Events per second, smoothed over [seconds]. */
internal class DecayingRate(private val seconds: Double) {
    private var count = 0.0
    private var countedAt = Timestamp.ZERO

    fun add(now: Timestamp) {
        count = decayed(now) + 1
        countedAt = now
    }

    fun perSecond(now: Timestamp): Double = decayed(now) / seconds

    private fun decayed(now: Timestamp): Double =
        count * exp(-(now.micros - countedAt.micros) / (seconds * MICROS_PER_SECOND))

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}
