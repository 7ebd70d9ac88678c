/**
 * The routing policy in production, a variant of the power of two choices. It compares a few random targets in the
 * entry's zone, as many in other zones, and up to two targets that have cached a prefix of the prompt, by the expected
 * time to the first token.
 *
 * The expected time consists of the prefill of the blocks that are not cached and the wait for a slot in the batch. A
 * cached prefix saves a bounded time, so requests with a popular prefix go to other targets before its holder is
 * overloaded.
 */
package org.jujubelead.core.routing

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * The defaults gave the fewest late answers on the `tune` traces of the experiment `routing-tune`, for engines with 16
 * slots and 64 tokens per block.
 *
 * @property choices number of targets drawn at random in the entry's zone, and again in the other zones. With two in
 * each, round robin had fewer late answers in the archive workload at 80 % of capacity.
 * @property prefillSecondsPerBlock prefill time of one block, including its share of the steps that the prefill takes.
 * @property secondsPerRequest time that each request in flight adds before the first token.
 * @property slotTurnoverSeconds mean time until the next slot becomes free on a full target.
 * @property inFlightUncertainty uncertainty of the estimated number of requests in flight. A target that may be full by
 * the time the request arrives costs more.
 * @property crossZoneSeconds cost of sending a request to another zone. It exceeds the network latency, so that traffic
 * stays in the zone unless another zone avoids a wait.
 * @property reportDecaySeconds age at which a load report has lost 63 % of its weight in the choice of a target. All
 * entries react to the same reports: with 5 s, the duration of an answer, all entries chose the same targets.
 * @property maxReportWeight weight of a report that was made just now. With full weight, the entries choose the same
 * targets between two reports.
 */
public data class TwoChoices(
    val choices: Int = 4,
    val prefillSecondsPerBlock: Double = 0.006,
    val secondsPerRequest: Double = 0.005,
    val slotTurnoverSeconds: Double = 0.4,
    val inFlightUncertainty: Double = 2.0,
    val crossZoneSeconds: Double = 0.05,
    val reportDecaySeconds: Double = 0.3,
    val maxReportWeight: Double = 0.25,
) : RoutingPolicy {
    override fun choose(request: RoutingRequest, snapshot: RoutingSnapshot, random: Random): RoutingDecision {
        val best = BestCandidate(request, snapshot)
        val pool = snapshot.pool
        val far = if (pool.local.isEmpty()) ChoiceReason.LOWEST_COST else ChoiceReason.SPILL
        snapshot.prefixes.holdersOf(request.prefixes) { load, blocks ->
            if (load.pool === pool) best.offer(load, blocks, ChoiceReason.PREFIX)
        }
        best.offerSome(pool.local, ChoiceReason.LOWEST_COST, random)
        best.offerSome(pool.remote, far, random)
        best.load?.let { return RoutingDecision.Chosen(it.target, best.reason) }
        val left = pool.all.firstOrNull { it.target.key !in request.tried }
            ?: return RoutingDecision.NoTarget(
                if (pool.all.isEmpty()) NoTargetReason.NONE_LIVE else NoTargetReason.ALL_TRIED,
            )
        return RoutingDecision.Chosen(left.target, ChoiceReason.ONLY_ONE)
    }

    private fun seconds(load: TargetLoad, request: RoutingRequest, known: Int, snapshot: RoutingSnapshot): Double {
        val outstanding = load.outstanding(
            snapshot.now,
            snapshot.meanOtherRequests,
            reportDecaySeconds,
            maxReportWeight,
        )
        val capacity = load.report?.capacity ?: ASSUMED_CAPACITY
        val excess = (outstanding + 1 - capacity) / inFlightUncertainty
        val wait = if (excess > SOFTPLUS_LINEAR_ABOVE) excess else ln(1 + exp(excess))
        val units = load.pendingWorkUnits + (request.workUnits - known).coerceAtLeast(0)
        return load.slowness *
            (
                units * prefillSecondsPerBlock + outstanding * secondsPerRequest +
                    wait * inFlightUncertainty * slotTurnoverSeconds
                )
    }

    private inner class BestCandidate(private val request: RoutingRequest, private val snapshot: RoutingSnapshot) {
        var load: TargetLoad? = null
        var reason = ChoiceReason.LOWEST_COST
        private var least = Double.MAX_VALUE
        private val zone = snapshot.pool.local.firstOrNull()?.target?.zone

        fun offerSome(all: List<TargetLoad>, why: ChoiceReason, random: Random) {
            if (all.isEmpty()) return
            var index = random.nextInt(all.size)
            repeat(minOf(choices, all.size)) {
                offer(all[index], 0, why)
                if (++index == all.size) index = 0
            }
        }

        fun offer(offered: TargetLoad, known: Int, why: ChoiceReason) {
            if (offered.target.key in request.tried) return
            val way = if (offered.target.zone == zone) 0.0 else crossZoneSeconds
            val cost = seconds(offered, request, known, snapshot) + way
            if (cost < least) {
                least = cost
                load = offered
                reason = why
            }
        }
    }

    private companion object {
        /** Capacity assumed for a target that has not reported yet. */
        const val ASSUMED_CAPACITY = 8

        /** For larger x, ln(1 + exp(x)) is taken as x. */
        const val SOFTPLUS_LINEAR_ABOVE = 30.0
    }
}
