/** Messages between rank agents, as JSON. */
package org.jujubelead.gateway.rank

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.expertmap.initialMap
import org.jujubelead.core.ids.GroupId

/**
 * Status of a rank, sent by its agent to the coordinator.
 *
 * @property group group of the rank.
 * @property term term of the coordinator that the agent follows. The agent refuses orders of earlier terms from then
 * on.
 * @property agent address of the agent.
 * @property replica address of the replica.
 * @property firstSet first set of layers in [choices].
 * @property choices how often the rank's tokens chose each expert of some sets since the last status with choices,
 * encoded as [CompactCounts]; empty if the status has none.
 * @property choiceUnit unit of [choices].
 */
@Serializable
internal data class RankStatus(
    val group: GroupId,
    val term: Long,
    val agent: String,
    val replica: String,
    val observed: RankReading,
    val firstSet: Int,
    val choices: String,
    val choiceUnit: Double,
)

/**
 * The coordinator's response to a status.
 *
 * @property sets number of sets of layers.
 * @property interval milliseconds between two statuses.
 * @property changeInterval milliseconds between two statuses of an agent whose last order has had no effect yet.
 */
@Serializable
internal data class StatusReply(val sets: Int, val interval: Long, val changeInterval: Long)

/** Announces that the agent at [leader] has coordinated [group] since [term]. */
@Serializable
internal data class LeaderAnnouncement(val group: GroupId, val leader: String, val term: Long)

/**
 * An order of the coordinator of [group] in [term]. Agents of ranks of other groups refuse it.
 *
 * @property body request body for the replica; null if the agent creates it from [prepare].
 * @property expected what the rank's report shows once the order has taken effect.
 * @property relayTo addresses of the agents to which the receiver relays the order.
 * @property relayMillis time within which these agents have to answer.
 */
@Serializable
internal data class RankOrder(
    val group: GroupId,
    val term: Long,
    val body: String?,
    val prepare: PrepareOrder? = null,
    val expected: ExpectedState? = null,
    val relayTo: List<String> = emptyList(),
    val relayMillis: Long = 0,
)

/** State in which an order leaves a rank. Only the property that the order changes is set. */
@Serializable
internal data class ExpectedState(val prepared: Long? = null, val armedFor: Long? = null, val heldAt: Long? = null) {
    /** True if [o] shows the state, or that the rank is beyond it. */
    fun shownBy(o: RankObservation): Boolean = when {
        prepared != null -> o.prepared?.value == prepared || o.map.value >= prepared
        armedFor != null -> o.armed?.step == armedFor || o.step >= armedFor
        heldAt != null -> o.heldAt == heldAt || o.step >= heldAt
        else -> true
    }

    companion object {
        fun of(order: MapOrder): ExpectedState? = when (order) {
            is MapOrder.Prepare -> ExpectedState(prepared = order.version.value)
            is MapOrder.Arm -> ExpectedState(armedFor = order.step)
            is MapOrder.Hold -> ExpectedState(heldAt = order.step)
            is MapOrder.Release -> null
        }
    }
}

/**
 * An order to prepare map [version].
 *
 * @property base version of the map that [changes] apply to; agents cache the maps that they received last.
 * @property initial shape of the base if it is the map of a new group, which agents can construct.
 * @property changes encoded by [encodeChanges]; null if [map] is given.
 * @property map encoded by [encodeMap], for an agent that does not have the base.
 */
@Serializable
internal data class PrepareOrder(
    val version: Long,
    val epoch: Long,
    val base: Long? = null,
    val initial: InitialMap? = null,
    val changes: String? = null,
    val map: String? = null,
)

/** Shape of the map of a new group. */
@Serializable
internal data class InitialMap(val sets: Int, val experts: Int, val ranks: Int) {
    fun construct(): GroupMap = initialMap(sets, experts, ranks)

    companion object {
        /** Returns the shape of [map] if it is the map of a new group, and null otherwise. */
        fun shapeOf(map: GroupMap): InitialMap? {
            val ranks = map.firstOrNull()?.ranks ?: return null
            val shape = InitialMap(map.size, ranks.sumOf { it.size }, ranks.size)
            return shape.takeIf { it.construct() == map }
        }
    }
}

/**
 * Result of an order that an agent forwarded.
 *
 * @property status status of the replica's response; null if there was none and the order may still take effect.
 * @property observed reading of the rank after the order; null if there was none or the rank is in another group.
 * @property relayed results of the agents to which the order was relayed, in the order in which it names them; null for
 * an agent that did not answer.
 */
@Serializable
internal data class OrderResult(
    val status: Int?,
    val observed: RankReading?,
    val relayed: List<OrderResult?> = emptyList(),
)

internal val rankJson: Json = Json { ignoreUnknownKeys = true }

/** Paths of the calls between agents. */
internal object RankPaths {
    const val STATUS = "/rank/status"
    const val ORDER = "/rank/order"
    const val LEADER = "/rank/leader"
    const val HELD_EXPERTS = "/rank/experts"
}
