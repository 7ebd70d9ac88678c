/**
 * Estimated loads of all targets, and the subset of targets that one entry sends requests to.
 *
 * Not thread-safe: the table is confined to the control thread. A snapshot is a view of the table and is valid until
 * the next change.
 */
package org.jujubelead.core.routing

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration

/** The targets of one target set that an entry sends requests to. */
public class TargetPool internal constructor(
    internal val source: List<Target>,
    public val local: List<TargetLoad>,
    public val remote: List<TargetLoad>,
) {
    /** Targets in the entry's zone first, then those in other zones. */
    public val all: List<TargetLoad> = local + remote
}

/** Input of a [RoutingPolicy] for one decision. */
public class RoutingSnapshot internal constructor(
    public val pool: TargetPool,
    public val prefixes: PrefixIndex,
    public val meanOtherRequests: Double,
    public val decisionNumber: Long,
    public val now: Timestamp,
)

/**
 * @param zone the zone of the entry.
 * @param seed different for each entry, so that the subsets of the entries differ and all targets are used.
 * @param subsetSize maximum number of targets per set in the entry's own zone, and again in all other zones together.
 */
public class LoadTable(
    private val zone: ZoneId,
    private val seed: Long,
    private val subsetSize: Int = DEFAULT_SUBSET,
) {
    private val loads = HashMap<TargetKey, TargetLoad>()
    private val pools = HashMap<TargetSetId, TargetPool>()
    private val stats = HashMap<TargetSetId, SetStats>()
    private var decisions = 0L

    /** Targets by cached prompt prefixes. */
    public val prefixes: PrefixIndex = PrefixIndex()

    /** The load of [target], or null when the target is not tracked. */
    public fun load(target: TargetKey): TargetLoad? = loads[target]

    /** True when [target] is in the subset that this entry sends requests to, so that its load must be known. */
    public fun drawsFrom(
        target: Target,
    ): Boolean = loads[target.key]?.pool.let { it != null && it === pools[target.set] }

    /** Input for the choice among [candidates], which the membership view provides. */
    public fun snapshot(set: TargetSetId, candidates: List<Target>, now: Timestamp): RoutingSnapshot {
        val known = pools[set]
        val pool = if (known != null &&
            known.source === candidates
        ) {
            known
        } else {
            pool(candidates).also { pools[set] = it }
        }
        return RoutingSnapshot(pool, prefixes, statsOf(set).others.value, decisions++, now)
    }

    /** Records that a request was sent to [target]. */
    public fun started(target: Target, request: RoutingRequest, now: Timestamp) {
        val load = loadOf(target)
        load.inFlightChanged(by = 1, now)
        load.pendingWorkUnits += request.workUnits
        prefixes.record(request.prefixes, load)
    }

    /** Records that the first token or the response head arrived. */
    public fun firstToken(target: TargetKey, request: RoutingRequest) {
        val load = loads[target] ?: return
        load.pendingWorkUnits = (load.pendingWorkUnits - request.workUnits).coerceAtLeast(0)
    }

    /** Records the end of an attempt, whatever its outcome. [hadFirstToken]: whether [firstToken] was called for it. */
    public fun finished(target: TargetKey, request: RoutingRequest, hadFirstToken: Boolean, now: Timestamp) {
        val load = loads[target] ?: return
        load.inFlightChanged(by = -1, now)
        if (!hadFirstToken) firstToken(target, request)
    }

    /** Records the [pace] of a complete answer: the time per token of a model, or the response time of a service. */
    public fun measured(target: TargetKey, pace: Duration) {
        val load = loads[target] ?: return
        val usual = statsOf(load.target.set).pace.add(pace.inWholeMicroseconds.toDouble())
        val relative = pace.inWholeMicroseconds / usual
        load.slowness += (relative.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS) - load.slowness) * PACE_SMOOTHING
    }

    /**
     * Records a load report, which arrives with an answer or a probe.
     *
     * @param madeAt when the agent made the report, on this process's clock. It is computed from the agent's tick and
     * the offset between the clocks, which probes measure with an error of up to half a round-trip time.
     */
    public fun reported(target: TargetKey, report: LoadReport, madeAt: Timestamp) {
        val load = loads[target] ?: return
        if (!load.reported(report, madeAt)) return
        statsOf(load.target.set).others.add(load.otherRequestsAtReport.toDouble())
    }

    /**
     * Number of requests that this entry may have in flight on [set]: its current ones plus its share of the free
     * slots, and at least an even share of all slots. Null before the first report.
     *
     * An entry does not take all free slots: reports are late, so all entries would take the same slots, and then none
     * could send requests until the excess is processed.
     *
     * @param entries number of entries that share the targets.
     */
    public fun capacity(set: TargetSetId, entries: Int, now: Timestamp): Int? {
        val pool = pools[set] ?: return null
        val reported = pool.all.filter { it.report != null }
        if (reported.isEmpty()) return null
        val total = reported.sumOf { it.report?.capacity ?: 0 }
        val usual = statsOf(set).others.value
        val others = reported.sumOf { it.outstanding(now, usual, TOTAL_DECAY_SECONDS) - it.inFlight }
        val share = total.toDouble() / reported.size * pool.source.size / entries
        val own = reported.sumOf { it.inFlight }
        return ceil(maxOf(share, own + (total - others - own) / entries)).toInt().coerceAtLeast(1)
    }

    /** Removes targets that are not in [known] and have no request in flight. */
    public fun retain(known: Collection<Target>) {
        val keys = known.mapTo(HashSet()) { it.key }
        loads.values.removeIf { it.inFlight == 0 && it.target.key !in keys }
    }

    private fun statsOf(set: TargetSetId): SetStats = stats.getOrPut(set) { SetStats() }

    private fun loadOf(target: Target): TargetLoad =
        loads.getOrPut(target.key) { TargetLoad(target).apply { hash = rendezvous(target.key) } }

    private fun pool(candidates: List<Target>): TargetPool {
        val (local, remote) = candidates.map(::loadOf).partition { it.target.zone == zone }
        val pool = TargetPool(candidates, subset(local), subset(remote))
        pool.all.forEach { it.pool = pool }
        return pool
    }

    private fun subset(all: List<TargetLoad>): List<TargetLoad> =
        if (all.size <= subsetSize) all else all.sortedBy { it.hash }.take(subsetSize)

    private fun rendezvous(key: TargetKey): Long = PrefixHashes.mix(key.hashCode().toLong() xor PrefixHashes.mix(seed))

    public companion object {
        /** Large enough to contain a free target, and small enough to probe all targets within 6 KB/s. */
        public const val DEFAULT_SUBSET: Int = 16

        /** The total over all targets changes only over the duration of an answer, about 5 s. */
        private const val TOTAL_DECAY_SECONDS = 5.0
        private const val PACE_SMOOTHING = 0.2
        private const val MIN_SLOWNESS = 0.5
        private const val MAX_SLOWNESS = 8.0
    }
}

/** Smoothed means over all targets of a set. */
private class SetStats {
    val others = SmoothedMean()
    val pace = SmoothedMean()
}

private class SmoothedMean {
    var value = 0.0
        private set
    private var empty = true

    fun add(sample: Double): Double {
        value = if (empty) sample else value + (sample - value) * SMOOTHING
        empty = false
        return value
    }

    private companion object {
        const val SMOOTHING = 0.02
    }
}
