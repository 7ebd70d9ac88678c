/**
 * Policies that choose a target for a request.
 *
 * The policies other than [TwoChoices] are baselines for comparison. They ignore zones and choose among all targets of
 * the pool.
 */
package org.jujubelead.core.routing

import kotlin.random.Random

public sealed interface RoutingPolicy {
    /** Chooses a target. The cost does not grow with the number of targets, except for [LeastReported]. */
    public fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision
}

public data object RoundRobin : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            firstUntried(all, (snapshot.decisionNumber % all.size).toInt(), request) { true }
        }
}

/** Chooses the target with the lowest load in its latest report. */
public data object LeastReported : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            all.filter { it.target.key !in request.tried }.minByOrNull { reportedLoad(it) }
        }

    private fun reportedLoad(load: TargetLoad): Int = load.report?.let { it.running + it.waiting } ?: 0
}

/** Chooses the one of two random targets that has fewer requests of this entry in flight. */
public data object TwoRandom : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision =
        baseline(snapshot) { all ->
            val first = firstUntried(all, random.nextInt(all.size), request) { true }
            val second = firstUntried(all, random.nextInt(all.size), request) { true }
            if (first != null && second != null && second.inFlight < first.inFlight) second else first
        }
}

/**
 * Hashing with bounded loads on the first block of the prompt: chooses the next target in order that has fewer than
 * [bound] times the mean number of this entry's requests in flight.
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
