/**
 * Numbers of requests in progress and queued at one entry, per workspace, and the rate of completions.
 *
 * Not thread-safe; used on the control thread only. Only workspaces with requests in progress or queued use memory.
 */
package org.jujubelead.core.admission

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import kotlin.math.exp

/**
 * Limits of a workspace from the settings.
 *
 * @property weight share of the capacity relative to other workspaces.
 * @property maxInProgress maximum number of requests in progress at this entry.
 */
public data class WorkspaceLimits(val weight: Double = 1.0, val maxInProgress: Int = Int.MAX_VALUE)

/**
 * @param capacity maximum number of requests in progress at this entry; see [capacityChanged].
 * @param limits returns the limits of a workspace from the settings.
 */
public class AdmissionState(capacity: Int, private val limits: (WorkspaceId) -> WorkspaceLimits) {
    internal class Usage(val workspace: WorkspaceId, var limits: WorkspaceLimits) {
        var inProgress = 0
        var waiting = 0
        val load: Double get() = inProgress / limits.weight
        val arrivals = DecayingRate(OFFERED_LOAD_TIME_CONSTANT_S)

        /** Number of requests that would be in progress if all were admitted and took [duration] seconds. */
        fun offered(now: Timestamp, duration: Double): Double = arrivals.perSecond(now) * duration
    }

    private val usages = HashMap<WorkspaceId, Usage>()
    private val waitingByWorkspace = LinkedHashMap<WorkspaceId, Usage>()
    private val completions = DecayingRate(COMPLETION_RATE_TIME_CONSTANT_S)

    /** Maximum number of requests in progress at this entry. */
    public var capacity: Int = capacity
        private set

    public var inProgress: Int = 0
        private set

    /** Number of queued requests. */
    public var waiting: Int = 0
        private set

    /** Sum of the weights of the workspaces with requests in progress or queued. */
    internal var activeWeight: Double = 0.0
        private set

    internal fun activeWeightWith(asking: WorkspaceId): Double =
        activeWeight + if (asking in usages) 0.0 else limits(asking).weight

    internal val waitingUsages: Collection<Usage> get() = waitingByWorkspace.values

    public fun inProgress(workspace: WorkspaceId): Int = usages[workspace]?.inProgress ?: 0

    public fun waiting(workspace: WorkspaceId): Int = usages[workspace]?.waiting ?: 0

    internal fun usage(workspace: WorkspaceId): Usage? = usages[workspace]

    internal fun limitsOf(workspace: WorkspaceId): WorkspaceLimits = limits(workspace)

    /** Smoothed number of completions per second; null before the first completion. */
    public fun serviceRate(now: Timestamp): Double? =
        completions.perSecond(now).takeIf { it > 0.0 }

    /** Called when the capacity of the targets or the number of entries that share it has changed. */
    public fun capacityChanged(capacity: Int) {
        this.capacity = capacity
    }

    /** Called when a request was sent, either immediately or after [next] returned its workspace. */
    public fun started(workspace: WorkspaceId) {
        usageOf(workspace).inProgress++
        inProgress++
    }

    /** Called when a request that was sent has ended. */
    public fun finished(workspace: WorkspaceId, now: Timestamp) {
        val usage = usages[workspace] ?: return
        if (usage.inProgress == 0) return
        usage.inProgress--
        inProgress--
        completions.add(now)
        removeIfIdle(usage)
    }

    /** Called when a request was queued. */
    public fun queued(workspace: WorkspaceId) {
        val usage = usageOf(workspace)
        usage.waiting++
        waitingByWorkspace[workspace] = usage
        waiting++
    }

    /** Called when a request left the queue: it was sent or refused, or its caller disconnected. */
    public fun dequeued(workspace: WorkspaceId) {
        val usage = usages[workspace] ?: return
        if (usage.waiting == 0) return
        usage.waiting--
        if (usage.waiting == 0) waitingByWorkspace.remove(workspace)
        waiting--
        removeIfIdle(usage)
    }

    /**
     * The workspace whose oldest queued request should be sent now; null if there is no capacity or the queue is empty.
     * It is the one with the fewest requests in progress relative to its weight, provided that [policy] does not
     * withhold its reserve from that workspace.
     */
    public fun next(policy: AdmissionPolicy, now: Timestamp): WorkspaceId? {
        if (inProgress >= capacity) return null
        val least = waitingUsages
            .filter { it.inProgress < it.limits.maxInProgress }
            .minByOrNull { it.load } ?: return null
        return least.workspace.takeIf { inProgress < policy.inProgressLimit(it, this, now) }
    }

    /** Counts a request for admission, to measure the load that the workspace offers. */
    internal fun recordArrival(workspace: WorkspaceId, now: Timestamp) {
        usages[workspace]?.arrivals?.add(now)
    }

    /**
     * Fraction of the reserve that is withheld from [workspace], from 0 to 1. It is 0 if the workspace offers no more
     * than its max-min fair share. Otherwise it increases with the total offered load, so that a large workspace is not
     * limited below saturation.
     */
    internal fun withheldReserve(workspace: WorkspaceId, now: Timestamp): Double {
        val usage = usages[workspace] ?: return 0.0
        val rate = serviceRate(now) ?: return 0.0
        val duration = inProgress / rate
        if (usage.offered(now, duration) <= maxMinFairLevel(now, duration) * usage.limits.weight) return 0.0
        val load = usages.values.sumOf { it.offered(now, duration) } / capacity
        return ((load - RESERVE_THRESHOLD) / (FULL_RESERVE_THRESHOLD - RESERVE_THRESHOLD)).coerceIn(0.0, 1.0)
    }

    /** Max-min fair number of requests in progress per unit of weight: no workspace gets more than it offers. */
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
        // Reset to zero with the last workspace, so that rounding errors do not accumulate.
        activeWeight = if (usages.isEmpty()) 0.0 else activeWeight - usage.limits.weight
    }

    private companion object {
        /** Time constant for smoothing the completion rate. */
        const val COMPLETION_RATE_TIME_CONSTANT_S = 2.0

        /** Time constant for smoothing the offered load. With 20 s, a sudden increase was detected too late. */
        const val OFFERED_LOAD_TIME_CONSTANT_S = 5.0

        /**
         * Offered load, relative to the capacity, above which part of the reserve is withheld. With a threshold of 1.0,
         * only 98.2 % of the requests of workspaces within their share were on time in the archive workload at 1.25
         * times the capacity.
         */
        const val RESERVE_THRESHOLD = 0.9

        /** Offered load, relative to the capacity, above which the entire reserve is withheld. */
        const val FULL_RESERVE_THRESHOLD = 0.95
    }
}

/** Event rate per second, smoothed exponentially with the time constant [seconds]. */
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
