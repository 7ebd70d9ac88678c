/** Messages between rank agents, as JSON. */
package org.jujubelead.gateway.rank

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * What an agent tells the coordinator of its rank.
 *
 * @property term of the coordinator that the agent follows. From then on it refuses orders of earlier terms.
 * @property agent address of the agent.
 * @property replica address of the replica.
 * @property firstSet the first set of layers that [choices] is about.
 * @property choices how often its tokens chose each expert of some sets since the last status with choices, as
 * [CompactCounts]; empty when the status has none.
 * @property choiceUnit unit of [choices].
 */
@Serializable
internal data class RankStatus(
    val term: Long,
    val agent: String,
    val replica: String,
    val observed: RankReading,
    val firstSet: Int,
    val choices: String,
    val choiceUnit: Double,
)

/**
 * The coordinator's answer to a status.
 *
 * @property sets number of sets of layers.
 * @property interval milliseconds between two statuses.
 * @property changeInterval milliseconds between two statuses while the map is changed.
 */
@Serializable
internal data class StatusReply(val sets: Int, val interval: Long, val changeInterval: Long)

/**
 * One reading of a rank's report.
 *
 * @property readAtMicros when it was asked for, on the agent's monotonic clock.
 * @property report as the replica gave it.
 */
@Serializable
internal data class RankReading(val readAtMicros: Long, val report: String)

/** Says that the agent at [leader] coordinates the group since [term]. */
@Serializable
internal data class LeaderAnnouncement(val leader: String, val term: Long)

/**
 * An order of the coordinator of [term].
 *
 * @property body for the replica; null when the agent writes it from [prepare].
 */
@Serializable
internal data class RankOrder(val term: Long, val body: String?, val prepare: PrepareOrder? = null)

/**
 * An order to prepare map [version].
 *
 * @property base version of the map that [changes] start from; an agent keeps the maps that it was last sent.
 * @property changes as [encodeChanges] wrote them; null when [map] is given.
 * @property map as [encodeMap] wrote it, for an agent that does not have the base.
 */
@Serializable
internal data class PrepareOrder(
    val version: Long,
    val epoch: Long,
    val base: Long? = null,
    val changes: String? = null,
    val map: String? = null,
)

/**
 * Outcome of an order that an agent passed on.
 *
 * @property status the replica's answer; null when there was none, and the order may be carried out later.
 * @property observed the rank after the order.
 */
@Serializable
internal data class OrderResult(val status: Int?, val observed: RankReading?)

internal val rankJson: Json = Json { ignoreUnknownKeys = true }

/** Paths of the calls between agents. */
internal object RankPaths {
    const val STATUS = "/rank/status"
    const val ORDER = "/rank/order"
    const val LEADER = "/rank/leader"
    const val HELD_EXPERTS = "/rank/experts"
}
