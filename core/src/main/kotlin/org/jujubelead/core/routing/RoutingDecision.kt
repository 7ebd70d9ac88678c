/** What a routing policy is asked and what it answers. */
package org.jujubelead.core.routing

import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetSetId

/**
 * A request to route.
 *
 * @property prefixes hashes of growing prefixes of the prompt, shortest first; see [PrefixHashes]. Empty for plain
 * services.
 * @property workUnits size of the work before the first token, in the unit of [PrefixHashes.BLOCK_CHARACTERS] blocks.
 * @property tried targets that this request was sent to already; never chosen again.
 */
public class RoutingRequest(
    public val set: TargetSetId,
    public val prefixes: LongArray = LongArray(0),
    public val workUnits: Int = 1,
    public val tried: Set<TargetKey> = emptySet(),
)

/** Why a target was chosen. */
public enum class ChoiceReason {
    /** The baseline policies give no other reason. */
    POLICY,

    /** Lowest cost of those compared. */
    LOWEST_COST,

    /** Lowest cost because it holds a prefix of the prompt. */
    PREFIX,

    /** Lowest cost although it is in another zone. */
    SPILL,

    /** No other target was left. */
    ONLY_ONE,
}

/** Why no target was chosen. */
public enum class NoTargetReason {
    /** No live target serves this. */
    NONE_LIVE,

    /** All targets were tried. */
    ALL_TRIED,
}

/** Where a request goes. */
public sealed interface RoutingDecision {
    public data class Chosen(val target: Target, val reason: ChoiceReason) : RoutingDecision

    public data class NoTarget(val reason: NoTargetReason) : RoutingDecision
}
