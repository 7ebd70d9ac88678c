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

/** The targets that an entry draws from for one target set. */
public class TargetPool internal constructor(
    internal val source: List<Target>,
    public val local: List<TargetLoad>,
    public val remote: List<TargetLoad>,
)

/** What a policy reads for one decision. */
public class RoutingSnapshot internal constructor(
    public val pool: TargetPool,
    public val prefixes: PrefixIndex,
    public val othersUsually: Double,
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
    private val othersUsually = HashMap<TargetSetId, Double>()
    private var decisions = 0L

    /** Which targets hold which prefixes. */
    public val prefixes: PrefixIndex = PrefixIndex()

    /** The load of [target], or null when it was never a candidate. */
    public fun load(target: TargetKey): TargetLoad? = loads[target]

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
        return RoutingSnapshot(pool, prefixes, othersUsually[set] ?: 0.0, decisions++, now)
    }

    /** A request was sent to [target]. */
    public fun started(target: Target, request: RoutingRequest) {
        val load = loadOf(target)
        load.inFlight++
        load.pendingUnits += request.workUnits
        prefixes.record(request.prefixes, load)
    }

    /** The first token or the answer's head arrived. */
    public fun firstToken(target: TargetKey, request: RoutingRequest) {
        val load = loads[target] ?: return
        load.pendingUnits = (load.pendingUnits - request.workUnits).coerceAtLeast(0)
    }

    /** An attempt ended in any way. [hadFirstToken] tells whether [firstToken] was called for it. */
    public fun finished(target: TargetKey, request: RoutingRequest, hadFirstToken: Boolean) {
        val load = loads[target] ?: return
        load.inFlight = (load.inFlight - 1).coerceAtLeast(0)
        if (!hadFirstToken) firstToken(target, request)
    }

    /** A load report arrived, on an answer or from a probe. */
    public fun reported(target: TargetKey, report: LoadReport, now: Timestamp) {
        val load = loads[target] ?: return
        load.reported(report, now)
        val set = load.target.set
        val before = othersUsually[set]
        val others = load.othersAtReport.toDouble()
        othersUsually[set] = if (before == null) others else before + (others - before) * SMOOTHING
    }

    /** Forgets targets that left the list and have no request in progress. */
    public fun retain(known: Collection<Target>) {
        val keys = known.mapTo(HashSet()) { it.key }
        loads.values.removeIf { it.inFlight == 0 && it.target.key !in keys }
    }

    private fun loadOf(target: Target): TargetLoad =
        loads.getOrPut(target.key) { TargetLoad(target).apply { hash = rendezvous(target.key) } }

    private fun pool(candidates: List<Target>): TargetPool {
        val (local, remote) = candidates.map(::loadOf).partition { it.target.zone == zone }
        return TargetPool(candidates, subset(local), subset(remote))
    }

    private fun subset(all: List<TargetLoad>): List<TargetLoad> =
        if (all.size <= subsetSize) all else all.sortedBy { it.hash }.take(subsetSize)

    private fun rendezvous(key: TargetKey): Long = PrefixHashes.mix(key.hashCode().toLong() xor PrefixHashes.mix(seed))

    public companion object {
        /** Large enough that two choices find a free target, small enough to probe all of it within 6 KB/s. */
        public const val DEFAULT_SUBSET: Int = 16
        private const val SMOOTHING = 0.05
    }
}
