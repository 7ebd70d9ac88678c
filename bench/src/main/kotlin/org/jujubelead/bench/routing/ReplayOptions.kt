/** What a replay runs and what it counts. */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import org.jujubelead.core.admission.WorkspaceLimits
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.routing.RoutingPolicy

/**
 * @property reportLagMicros age of a load report when it arrives.
 * @property slowTarget one target takes three times as long for everything.
 * @property lostAtMicros one target stops answering for good; null for never.
 * @property admission requests pass through admission.
 * @property limits retries are bounded by the budget.
 * @property agentQueue requests that may wait at a target before its agent refuses more.
 * @property keyedShare part of the requests that need the key-value service.
 * @property outage time in which the key-value service does not answer.
 */
internal data class ReplayOptions(
    val policy: RoutingPolicy,
    val targets: Int = 12,
    val entries: Int = 4,
    val reportLagMicros: Long = 0,
    val slowTarget: Boolean = false,
    val lostAtMicros: Long? = null,
    val warmUpMicros: Long = 20_000_000,
    val endMicros: Long = 80_000_000,
    val admission: Boolean = true,
    val limits: Boolean = true,
    val agentQueue: Int = Int.MAX_VALUE,
    val keyedShare: Double = 0.0,
    val outage: LongRange = LongRange.EMPTY,
    val workspaceLimits: (WorkspaceId) -> WorkspaceLimits = { WorkspaceLimits() },
    val seed: Long = 1,
)

internal const val OBJECTIVE_MICROS = 690_000L

/** How one request ended for its caller. */
internal enum class End { ANSWERED, REFUSED, FAILED, UNFINISHED }

internal class RequestResult(val request: TraceRequest) {
    var firstTokenMicros: Long? = null
    var end = End.UNFINISHED
    var keyed = false

    /** The request needed the key-value service while it did not answer. */
    var unclaimed = false
    val onTime: Boolean get() = (firstTokenMicros ?: Long.MAX_VALUE) <= OBJECTIVE_MICROS
}

/**
 * @property prefixHits part of the prompt blocks found in a cache.
 * @property imbalance mean over time of the largest number of requests on a target relative to the mean.
 * @property attempts attempts sent to targets.
 */
internal class ReplayResult(
    val requests: List<RequestResult>,
    val prefixHits: Double,
    val imbalance: Double,
    val attempts: Long,
    val retries: Long,
    val seconds: Double,
) {
    private val times = requests.mapNotNull { it.firstTokenMicros }.sorted()

    /** Part of all requests without a first token within the objective, refused ones included. */
    val late: Double get() = requests.count { !it.onTime }.toDouble() / requests.size.coerceAtLeast(1)
    val refused: Double get() = requests.count { it.end == End.REFUSED }.toDouble() / requests.size.coerceAtLeast(1)
    val goodput: Double get() = requests.count { it.onTime } / seconds

    /** Time to the first token in seconds of those answered. */
    fun quantile(part: Double): Double =
        if (times.isEmpty()) Double.NaN else times[((times.size - 1) * part).toInt()] / 1e6
}
