/**
 * The policy in use: two random targets of the entry's zone, up to two that hold a prefix of the prompt, and one of
 * another zone are compared by expected cost.
 *
 * The cost is counted in requests that would be in progress. Knowing a prefix makes a target cheaper, but only by a
 * bounded number of requests, so a popular prefix spreads before it overloads its holder.
 */
package org.jujubelead.core.routing

import kotlin.random.Random

/**
 * @property prefixBonus requests that a fully known prompt is worth.
 * @property spillCost requests that the way to another zone costs.
 */
public data class TwoChoices(val prefixBonus: Double = 4.0, val spillCost: Double = 4.0) : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision {
        val best = Best(request, snapshot)
        repeat(2) { best.offerRandom(snapshot.pool.local, 0.0, ChoiceReason.LOWEST_COST, random) }
        val far = if (snapshot.pool.local.isEmpty()) ChoiceReason.LOWEST_COST else ChoiceReason.SPILL
        best.offerRandom(snapshot.pool.remote, spillCost, far, random)
        snapshot.prefixes.holdersOf(request.prefixes) { load, blocks ->
            if (load in snapshot.pool) {
                best.offer(load, -prefixBonus * blocks / request.prefixes.size, ChoiceReason.PREFIX)
            }
        }
        best.load?.let { return RoutingDecision.Chosen(it.target, best.reason) }
        val left = snapshot.pool.firstUntried(request)
            ?: return RoutingDecision.NoTarget(
                if (snapshot.pool.source.isEmpty()) NoTargetReason.NONE_LIVE else NoTargetReason.ALL_TRIED,
            )
        return RoutingDecision.Chosen(left.target, ChoiceReason.ONLY_ONE)
    }

    private class Best(private val request: RoutingRequest, private val snapshot: RoutingSnapshot) {
        var load: TargetLoad? = null
        var reason = ChoiceReason.LOWEST_COST
        private var cost = Double.MAX_VALUE

        fun offerRandom(all: List<TargetLoad>, extra: Double, why: ChoiceReason, random: Random) {
            if (all.isNotEmpty()) offer(all[random.nextInt(all.size)], extra, why)
        }

        fun offer(offered: TargetLoad, extra: Double, why: ChoiceReason) {
            if (offered.target.key in request.tried) return
            val offeredCost = (offered.outstanding(snapshot.now, snapshot.othersUsually) + 1) * offered.slowness + extra
            if (offeredCost < cost) {
                cost = offeredCost
                load = offered
                reason = why
            }
        }
    }
}

private operator fun TargetPool.contains(load: TargetLoad): Boolean = load in local || load in remote

private fun TargetPool.firstUntried(request: RoutingRequest): TargetLoad? =
    local.firstOrNull { it.target.key !in request.tried } ?: remote.firstOrNull { it.target.key !in request.tried }
