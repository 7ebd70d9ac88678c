/**
 * The targets of one model or plain service, with the evidence about them.
 *
 * Candidates are computed when evidence changes and not when they are asked for, so that a decision costs the same
 * at any size.
 */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.ZoneId

/** One target of the list and whether the list says it is leaving. */
internal data class ListedTarget(val target: Target, val leaving: Boolean)

internal class TargetSet(
    val listed: List<ListedTarget>,
    val evidence: Map<TargetKey, Evidence>,
    drains: Map<TargetKey, AnnouncedDrain>,
    drainingZones: Set<ZoneId>,
    policy: MembershipPolicy,
) {
    private val live: List<Target> = listed
        .filter { !it.leaving && it.target.key !in drains && it.target.zone !in drainingZones }
        .map { it.target }

    /** Suspects that are kept out. The worst come first when the cap does not allow all of them. */
    val ejected: Set<TargetKey> = if (evidence.isEmpty()) {
        emptySet()
    } else {
        live
            .filter { evidence[it.key]?.suspect == true }
            .sortedWith(
                compareBy<Target> {
                    evidence.getValue(it.key).cause
                }.thenBy { evidence.getValue(it.key).ejectedAt },
            )
            .take(policy.ejectionCap(live.size))
            .mapTo(HashSet()) { it.key }
    }

    val candidates: List<Target> = if (ejected.isEmpty()) live else live.filter { it.key !in ejected }
}
