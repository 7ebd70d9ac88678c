/** Input and result of a routing policy. */
package org.jujubelead.core.routing

import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetSetId

/**
 * A request to route.
 *
 * @property prefixes hashes of the prompt's prefixes, shortest first; see [PrefixHashes]. Empty for plain services.
 * @property workUnits work before the first token, in blocks of [PrefixHashes.BLOCK_CHARACTERS] characters.
 * @property tried targets that the request was already sent to; they are not chosen again.
 */
public class RoutingRequest(
    public val set: TargetSetId,
    public val prefixes: LongArray = LongArray(0),
    public val workUnits: Int = 1,
    public val tried: Set<TargetKey> = emptySet(),
)

/** Why a target was chosen. */
public enum class ChoiceReason {
    /** Chosen by a baseline policy. */
    POLICY,

    /** Lowest cost of the compared targets. */
    LOWEST_COST,

    /** Lowest cost because the target has cached a prefix of the prompt. */
    PREFIX,

    /** Lowest cost although the target is in another zone. */
    SPILL,

    /** None of the compared targets was eligible; the first untried target of the pool was chosen. */
    ONLY_ONE,
}

/** Why no target was chosen. */
public enum class NoTargetReason {
    /** No candidate serves the model or service. */
    NONE_LIVE,

    /** All targets were tried. */
    ALL_TRIED,
}

/** Result of a [RoutingPolicy]. */
public sealed interface RoutingDecision {
    public data class Chosen(val target: Target, val reason: ChoiceReason) : RoutingDecision

    public data class NoTarget(val reason: NoTargetReason) : RoutingDecision
}
