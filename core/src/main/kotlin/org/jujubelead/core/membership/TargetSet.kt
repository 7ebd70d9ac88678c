/**
 * The targets of one model or plain service, with their failure histories.
 *
 * Candidates are computed when the set changes and not when they are read, so that the cost of a routing decision does
 * not depend on the number of targets.
 */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.ZoneId

/** A target of the list and whether the list shows it as leaving. */
internal data class ListedTarget(val target: Target, val leaving: Boolean)

internal class TargetSet(
    val listed: List<ListedTarget>,
    val history: Map<TargetKey, FailureHistory>,
    drains: Map<TargetKey, AnnouncedDrain>,
    drainingZones: Set<ZoneId>,
    policy: MembershipPolicy,
) {
    private val live: List<Target> = listed
        .filter { !it.leaving && it.target.key !in drains && it.target.zone !in drainingZones }
        .map { it.target }

    /**
     * Suspect targets that receive no requests. When the limit does not allow the ejection of all of them, refused
     * connections come first, then the earlier ejections.
     */
    val ejected: Set<TargetKey> = if (history.isEmpty()) {
        emptySet()
    } else {
        live
            .filter { history[it.key]?.suspect == true }
            .sortedWith(
                compareBy<Target> {
                    history.getValue(it.key).cause
                }.thenBy { history.getValue(it.key).ejectedAt },
            )
            .take(policy.maxEjected(live.size))
            .mapTo(HashSet()) { it.key }
    }

    val candidates: List<Target> = if (ejected.isEmpty()) live else live.filter { it.key !in ejected }
}
