/**
 * How a request is given to a target.
 *
 * The policies other than [TwoChoices] are baselines for comparison. They know no zones and draw from all targets.
 */
package org.jujubelead.core.routing

import kotlin.random.Random

public sealed interface RoutingPolicy {
    /** Chooses a target. Cost does not depend on the number of targets, except for [LeastReported]. */
    public fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision
}

/** One target after the other. */
public data object RoundRobin : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            firstUntried(all, (snapshot.decisionNumber % all.size).toInt(), request) { true }
        }
}

/** The target with the least load in its last report. */
public data object LeastReported : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            all.filter { it.target.key !in request.tried }.minByOrNull { reportedLoad(it) }
        }

    private fun reportedLoad(load: TargetLoad): Int = load.report?.let { it.running + it.waiting } ?: 0
}

/** The better of two random targets by own requests in flight. */
public data object TwoRandom : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            val first = firstUntried(all, random.nextInt(all.size), request) { true }
            val second = firstUntried(all, random.nextInt(all.size), request) { true }
            if (first != null && second != null && second.inFlight < first.inFlight) second else first
        }
}

/**
 * Consistent hashing on the first block of the prompt with bounded loads: the next target on the ring whose own
 * requests in flight are below [bound] times the mean.
 */
public data class BoundedHash(val bound: Double = 1.25) : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            val key = request.prefixes.firstOrNull() ?: random.nextLong()
            val start = Math.floorMod(PrefixHashes.mix(key), all.size)
            val limit = bound * (all.sumOf { it.inFlight } + 1) / all.size
            firstUntried(all, start, request) { it.inFlight < limit } ?: firstUntried(all, start, request) { true }
        }
}

private inline fun firstUntried(
    all: List<TargetLoad>,
    start: Int,
    request: RoutingRequest,
    accept: (TargetLoad) -> Boolean,
): TargetLoad? {
    for (i in all.indices) {
        val load = all[(start + i) % all.size]
        if (load.target.key !in request.tried && accept(load)) return load
    }
    return null
}

private inline fun baseline(
    snapshot: RoutingSnapshot,
    pick: (List<TargetLoad>) -> TargetLoad?,
): RoutingDecision {
    val all = snapshot.pool.all
    if (all.isEmpty()) return RoutingDecision.NoTarget(NoTargetReason.NONE_LIVE)
    val picked = pick(all) ?: return RoutingDecision.NoTarget(NoTargetReason.ALL_TRIED)
    return RoutingDecision.Chosen(picked.target, ChoiceReason.POLICY)
}
