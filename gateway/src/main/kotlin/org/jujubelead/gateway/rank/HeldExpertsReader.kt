/** Reads the experts that all ranks of a group hold, from which a coordinator learns the map in use. */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.expertmap.VersionedMap
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.gateway.net.Clock
import org.jujubelead.gateway.schedule.InProgress
import org.jujubelead.platform.wire.HeldExperts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param sets number of sets of layers. */
internal class HeldExpertsReader(private val sets: Int, private val clock: Clock) {
    private val reading = InProgress(MAX_READ_TIME)

    /**
     * Asks the clients of all ranks in [view], unless an earlier read is in progress, and passes the map to [done]. It
     * is null if a rank did not answer, or if the ranks differ in the version of their map now or in [currentView].
     */
    fun read(
        view: Map<Int, RankObservation>,
        client: (rank: Int) -> RankClient?,
        currentView: () -> Map<Int, RankObservation>,
        done: (VersionedMap?) -> Unit,
    ) {
        if (reading.at(clock.now())) return
        reading.begin(clock.now())
        val version = view.values.map { it.map }.toSet().singleOrNull()
        val held = HashMap<Int, HeldExperts>()
        var pending = view.size
        for (rank in view.keys) {
            val asked = client(rank)
            val answered = { experts: HeldExperts? ->
                if (experts != null) held[rank] = experts
                if (--pending == 0) {
                    reading.end()
                    done(combine(held, version, currentView()))
                }
            }
            if (asked == null) answered(null) else asked.heldExperts(answered)
        }
    }

    private fun combine(
        held: Map<Int, HeldExperts>,
        version: MapVersion?,
        view: Map<Int, RankObservation>,
    ): VersionedMap? {
        val whole = view.size == held.size && held.values.all { it.sets.size == sets }
        if (held.values.any { it.version != null && it.version != version }) return null
        if (version == null || !whole || view.values.any { it.map != version }) return null
        val ranks = held.toSortedMap().values
        val map: GroupMap = List(sets) { set -> ExpertPlacement(ranks.map { it.sets[set].sorted() }) }
        return VersionedMap(version, map)
    }

    private companion object {
        /** Longer than the timeout of the calls to the agents, which are made at the same time. */
        val MAX_READ_TIME: Duration = 3.seconds
    }
}
