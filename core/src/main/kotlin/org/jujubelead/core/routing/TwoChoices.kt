/**
 * The policy in use, a form of the power of two choices: a few random targets of the entry's zone, as many of other
 * zones, and up to two that hold a prefix of the prompt are compared by the expected time to the first token.
 *
 * The time is that of the prefill of blocks not known, and of the wait for a place in the batch. Knowing a prefix saves
 * a bounded time, so a popular prefix spreads before it overloads its holder.
 */
package org.jujubelead.core.routing

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * The defaults are those with the fewest late answers on the `tune` traces of the experiment `routing-tune`, for
 * engines with 16 places and 64 tokens a block.
 *
 * @property choices targets drawn at random in the entry's zone, and again in the other zones. With two of each, round
 * robin had fewer late answers in the archive workload at 80 % of capacity.
 * @property prefillSecondsPerBlock time of the prefill of one block, with its part of the steps that the prefill takes.
 * @property secondsPerRequest time that each request in progress adds before the first token.
 * @property slotTurnoverSeconds time between two places getting free on a full target.
 * @property inFlightUncertainty uncertainty of the number of requests in progress; a target that may be full by then costs more.
 * @property crossZoneSeconds cost of another zone. It is more than the way there, so that traffic stays in the zone unless
 * a wait is saved.
 * @property reportDecaySeconds age at which a report of single targets has lost 63 % of its weight. Other entries react to
 * the same reports: 5 s, the time an answer takes, made all entries choose the same targets.
 * @property maxReportWeight weight of a report that was made just now. With full weight the entries choose the same targets
 * between two reports.
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
        val best = Best(request, snapshot)
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
        val wait = if (excess > LINEAR) excess else ln(1 + exp(excess))
        val units = load.pendingUnits + (request.workUnits - known).coerceAtLeast(0)
        return load.slowness *
            (
                units * prefillSecondsPerBlock + outstanding * secondsPerRequest +
                    wait * inFlightUncertainty * slotTurnoverSeconds
                )
    }

    private inner class Best(private val request: RoutingRequest, private val snapshot: RoutingSnapshot) {
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
        /** Capacity of a target that has not reported yet. */
        const val ASSUMED_CAPACITY = 8

        /** Above this the logarithm of the sum equals its larger part. */
        const val LINEAR = 30.0
    }
}
