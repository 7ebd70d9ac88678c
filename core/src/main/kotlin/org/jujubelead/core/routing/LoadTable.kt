/**
 * Loads of all targets as one entry sees them, and the subset of targets it draws from.
 *
 * The table is mutable and owned by the control thread. A snapshot reads through to it and is valid until the next
 * change.
 */
package org.jujubelead.core.routing

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration

/** The targets that an entry draws from for one target set. */
public class TargetPool internal constructor(
    internal val source: List<Target>,
    public val local: List<TargetLoad>,
    public val remote: List<TargetLoad>,
) {
    /** Local ones first. */
    public val all: List<TargetLoad> = local + remote
}

/** What a policy reads for one decision. */
public class RoutingSnapshot internal constructor(
    public val pool: TargetPool,
    public val prefixes: PrefixIndex,
    public val meanOtherRequests: Double,
    public val decisionNumber: Long,
    public val now: Timestamp,
)

/**
 * @param zone the zone of the entry.
 * @param seed differs between entries, so that their subsets differ and all targets are used.
 * @param subsetSize targets drawn from per set in the entry's own zone, and again in all other zones together.
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

    /** Which targets hold which prefixes. */
    public val prefixes: PrefixIndex = PrefixIndex()

    /** The load of [target], or null when it was never a candidate. */
    public fun load(target: TargetKey): TargetLoad? = loads[target]

    /** True when this entry draws from [target], so that its load must be known. */
    public fun drawsFrom(
        target: Target,
    ): Boolean = loads[target.key]?.pool.let { it != null && it === pools[target.set] }

    /** What a policy needs to choose among [candidates], which the membership view gives. */
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

    /** A request was sent to [target]. */
    public fun started(target: Target, request: RoutingRequest, now: Timestamp) {
        val load = loadOf(target)
        load.inFlightChanged(by = 1, now)
        load.pendingUnits += request.workUnits
        prefixes.record(request.prefixes, load)
    }

    /** The first token or the answer's head arrived. */
    public fun firstToken(target: TargetKey, request: RoutingRequest) {
        val load = loads[target] ?: return
        load.pendingUnits = (load.pendingUnits - request.workUnits).coerceAtLeast(0)
    }

    /** An attempt ended in any way. [hadFirstToken] tells whether [firstToken] was called for it. */
    public fun finished(target: TargetKey, request: RoutingRequest, hadFirstToken: Boolean, now: Timestamp) {
        val load = loads[target] ?: return
        load.inFlightChanged(by = -1, now)
        if (!hadFirstToken) firstToken(target, request)
    }

    /** A whole answer was measured: [pace] is the time per token of a model, or the time to answer of a service. */
    public fun measured(target: TargetKey, pace: Duration) {
        val load = loads[target] ?: return
        val usual = statsOf(load.target.set).pace.add(pace.inWholeMicroseconds.toDouble())
        val relative = pace.inWholeMicroseconds / usual
        load.slowness += (relative.coerceIn(FASTEST, SLOWEST) - load.slowness) * PACE_SMOOTHING
    }

    /**
     * A load report arrived, on an answer or from a probe.
     *
     * @param madeAt when the agent made it, on this process's clock: from the agent's tick and the offset between the
     * clocks, which probes measure to half a round trip.
     */
    public fun reported(target: TargetKey, report: LoadReport, madeAt: Timestamp) {
        val load = loads[target] ?: return
        if (!load.reported(report, madeAt)) return
        statsOf(load.target.set).others.add(load.othersAtReport.toDouble())
    }

    /**
     * Requests of [set] that this entry may have in progress: those it has and its part of the free places, and at
     * least an even share of all. Null before the first report. Were an entry to take all free places, all entries
     * would take the same ones from late reports, and then none would send anything until the surplus is done.
     *
     * @param entries number of entries that share the targets.
     */
    public fun capacity(set: TargetSetId, entries: Int, now: Timestamp): Int? {
        val pool = pools[set] ?: return null
        val reported = pool.all.filter { it.report != null }
        if (reported.isEmpty()) return null
        val total = reported.sumOf { it.report?.capacity ?: 0 }
        val usual = statsOf(set).others.value
        val others = reported.sumOf { it.outstanding(now, usual, SUM_TRUST_SECONDS) - it.inFlight }
        val share = total.toDouble() / reported.size * pool.source.size / entries
        val own = reported.sumOf { it.inFlight }
        return ceil(maxOf(share, own + (total - others - own) / entries)).toInt().coerceAtLeast(1)
    }

    /** Forgets targets that left the list and have no request in progress. */
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
        /** Large enough that two choices find a free target, small enough to probe all of it within 6 KB/s. */
        public const val DEFAULT_SUBSET: Int = 16

        /** The sum over all targets changes as slowly as answers take. */
        private const val SUM_TRUST_SECONDS = 5.0
        private const val PACE_SMOOTHING = 0.2
        private const val FASTEST = 0.5
        private const val SLOWEST = 8.0
    }
}

/** Means over all targets of a set. */
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
