/**
 * Changes the expert map of a group so that all ranks switch at the same pass.
 *
 * Ranks neither compare their maps nor know which coordinator leads, and an order that got no answer can still take
 * effect seconds later, after newer orders. A rank does check the epoch, that the version is higher than any version
 * it has received, that the armed version is the prepared one, and that the pass has not begun. The protocol relies
 * only on these checks:
 *
 * 1. All ranks prepare the new map. From then on they reject a delayed order for an older version.
 * 2. The coordinator confirms that it is still the leader.
 * 3. One rank holds the group before pass S, which no rank has begun.
 * 4. All ranks are armed for S. None can switch, because the group cannot begin S.
 * 5. When all ranks report that they are armed, the hold is released.
 *
 * A change that has reached step 3 is always completed and never rolled back: the release is sent only when all ranks
 * are armed, and no rank is ever disarmed, so a delayed release or arm order cannot make only some of the ranks switch.
 * A coordinator that finds a hold of its predecessor completes that change in the same way.
 *
 * This class does no I/O: the caller passes observations and the time, and sends the orders. Not thread-safe; used on
 * the control thread only.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Phase of a change. */
public sealed interface ChangePhase {
    public data object Idle : ChangePhase

    public data class Preparing(val version: MapVersion, val map: GroupMap, val deadline: Timestamp) : ChangePhase

    /** Waits for [MapChange.leadershipConfirmed]. */
    public data class Proving(val version: MapVersion, val map: GroupMap) : ChangePhase

    public data class Holding(val version: MapVersion, val map: GroupMap, val step: Long) : ChangePhase

    /** The group is held before pass [step] or armed for it. [map] is null if another coordinator planned it. */
    public data class Switching(val version: MapVersion, val map: GroupMap?, val step: Long) : ChangePhase
}

/**
 * @param versionFloor versions assigned by this coordinator are higher than this one and than all versions assigned by
 * its predecessors.
 * @param marginSteps number of passes between the latest observed pass and the switch.
 * @param holder returns the rank that holds a group of the given size. It is not the rank on the coordinator's own
 * instance, so that the suspension of one instance does not stop both the holding rank and the coordinator.
 */
public class MapChange(
    versionFloor: MapVersion,
    public var marginSteps: Long = DEFAULT_MARGIN_STEPS,
    private val holder: (size: Int) -> Int = { 1 % it },
) {
    public var phase: ChangePhase = ChangePhase.Idle
        private set

    /**
     * The map in use with its version; null if this coordinator does not know it. Agents may have it under that version
     * and get only the changes to it, so both are set together: a view can show a rank as it was some time ago.
     */
    private var base: VersionedMap? = null

    /** The map in use; null if this coordinator does not know it. */
    public val current: GroupMap? get() = base?.map
    private var epoch: Long? = null
    private var lastVersion = versionFloor

    /** True if no change is in progress. */
    public val idle: Boolean get() = phase == ChangePhase.Idle

    /** Sets the map that the ranks report as in use. Ignored during a change. */
    public fun updateCurrent(map: VersionedMap) {
        if (idle) base = map
    }

    /** Starts a change to [map]. */
    public fun propose(map: GroupMap, now: Timestamp) {
        check(idle) { "a map change is already in progress" }
        phase = ChangePhase.Preparing(nextVersion(), map, now + PREPARE_TIMEOUT)
    }

    /** Called when the coordinator has confirmed its leadership after all ranks reported the map as prepared. */
    public fun leadershipConfirmed(view: Map<Int, RankObservation>) {
        val p = phase as? ChangePhase.Proving ?: return
        if (!complete(view)) return
        phase = ChangePhase.Holding(p.version, p.map, step = view.values.maxOf { it.step } + marginSteps)
    }

    /** Called when the coordinator is no longer the leader. Cancels a change that has not reached the hold. */
    public fun leadershipLost() {
        if (phase is ChangePhase.Preparing || phase is ChangePhase.Proving) phase = ChangePhase.Idle
    }

    /** Returns the orders to send now, at most one per rank. [view] has the latest observation of each rank. */
    public fun nextOrders(view: Map<Int, RankObservation>, now: Timestamp): Map<Int, MapOrder> {
        if (!complete(view)) return emptyMap()
        val current = withCommonPasses(view)
        trackView(current)
        repeat(MAX_TRANSITIONS) {
            val before = phase
            val orders = advance(current, now)
            if (phase == before) return orders
        }
        return emptyMap()
    }

    /**
     * Brings all observations to the latest pass that a rank has begun. The ranks begin each pass together, a rank that
     * is armed for a pass switches in it, and no pass begins before its hold is released. So one new observation tells
     * that a switch has taken place, whatever the number of ranks.
     */
    private fun withCommonPasses(view: Map<Int, RankObservation>): Map<Int, RankObservation> {
        val begun = view.values.maxOf { it.step }
        return view.mapValues { (_, o) ->
            val switched = o.armed?.takeIf { it.step <= begun }
            val released = o.heldAt != null && o.heldAt <= begun
            when {
                switched != null -> o.copy(
                    map = switched.version,
                    prepared = null,
                    armed = null,
                    heldAt = o.heldAt.takeUnless { released },
                )

                released -> o.copy(heldAt = null)

                else -> o
            }
        }
    }

    /** True if [view] contains one observation of each rank of a single open group. */
    public fun complete(view: Map<Int, RankObservation>): Boolean {
        val first = view.values.firstOrNull() ?: return false
        return view.size == first.size &&
            view.values.all { it.group == first.group && it.epoch == first.epoch && it.open && it.size == first.size }
    }

    private fun trackView(view: Map<Int, RankObservation>) {
        val seen = view.values.first().epoch
        if (epoch != null && epoch != seen) {
            phase = ChangePhase.Idle
            base = null
        }
        epoch = seen
        for (o in view.values) {
            val versions = listOfNotNull(o.map, o.prepared, o.armed?.version)
            lastVersion = maxOf(lastVersion, versions.max())
        }
    }

    private fun advance(view: Map<Int, RankObservation>, now: Timestamp): Map<Int, MapOrder> {
        if (phase !is ChangePhase.Switching && enterSwitchIfStarted(view)) return emptyMap()
        return when (val p = phase) {
            is ChangePhase.Idle -> recoverHeldGroup(view, now)
            is ChangePhase.Preparing -> prepare(p, view, now)
            is ChangePhase.Proving -> emptyMap()
            is ChangePhase.Holding -> hold(p, view)
            is ChangePhase.Switching -> switch(p, view)
        }
    }

    /**
     * Enters the switching phase if a rank is armed, or if the group is held and all ranks have the same map prepared.
     * Returns true if it did.
     */
    private fun enterSwitchIfStarted(view: Map<Int, RankObservation>): Boolean {
        val armed = view.values.firstNotNullOfOrNull { it.armed }
        val step = armed?.step ?: view.values.firstNotNullOfOrNull { it.heldAt } ?: return false
        val version = armed?.version ?: view.values.mapTo(HashSet()) { it.prepared }.singleOrNull() ?: return false
        phase = ChangePhase.Switching(version, plannedMap(version), step)
        return true
    }

    /** Returns the map of [version] if this coordinator planned it. */
    private fun plannedMap(version: MapVersion): GroupMap? = when (val p = phase) {
        is ChangePhase.Preparing -> p.map.takeIf { p.version == version }
        is ChangePhase.Proving -> p.map.takeIf { p.version == version }
        is ChangePhase.Holding -> p.map.takeIf { p.version == version }
        is ChangePhase.Switching -> p.map.takeIf { p.version == version }
        is ChangePhase.Idle -> null
    }

    /** If the group is held while the ranks have different maps prepared, makes all of them prepare the map in use. */
    private fun recoverHeldGroup(view: Map<Int, RankObservation>, now: Timestamp): Map<Int, MapOrder> {
        val known = current
        if (known != null && view.values.any { it.heldAt != null }) propose(known, now)
        return emptyMap()
    }

    private fun prepare(p: ChangePhase.Preparing, view: Map<Int, RankObservation>, now: Timestamp): Map<Int, MapOrder> {
        if (now >= p.deadline) {
            phase = ChangePhase.Idle
            return emptyMap()
        }
        val missing = view.values.filter { it.prepared != p.version }
        if (missing.isEmpty()) phase = ChangePhase.Proving(p.version, p.map)
        val order = MapOrder.Prepare(p.version, p.map, base)
        return missing.associate { it.rank to order }
    }

    private fun hold(p: ChangePhase.Holding, view: Map<Int, RankObservation>): Map<Int, MapOrder> {
        when {
            view.values.any { it.prepared != p.version } -> phase = ChangePhase.Idle
            view.values.maxOf { it.step } >= p.step -> phase = ChangePhase.Proving(p.version, p.map)
            else -> return mapOf(holder(view.size) to MapOrder.Hold(p.step))
        }
        return emptyMap()
    }

    private fun switch(p: ChangePhase.Switching, view: Map<Int, RankObservation>): Map<Int, MapOrder> {
        if (view.values.all { it.map == p.version }) {
            base = p.map?.let { VersionedMap(p.version, it) }
            phase = ChangePhase.Idle
            return emptyMap()
        }
        val holder = view.values.firstOrNull { it.heldAt == p.step }
        if (holder == null) {
            // The pass began with another map because the orders were based on an outdated view.
            val missedStep =
                view.values.none { it.armed != null || it.map == p.version } && view.values.all { it.step > p.step }
            if (missedStep) {
                base = null
                phase = ChangePhase.Idle
            }
            return emptyMap()
        }
        val missing = view.values.filter { it.armed != ArmedMap(p.version, p.step) }
        if (missing.isEmpty()) return mapOf(holder.rank to MapOrder.Release(p.step))
        return missing.associate { it.rank to MapOrder.Arm(p.version, p.step) }
    }

    private fun nextVersion(): MapVersion {
        lastVersion = MapVersion(lastVersion.value + 1)
        return lastVersion
    }

    public companion object {
        /** Hold and arm take about one pass. If the pass begins earlier, leadership has to be confirmed again. */
        public const val DEFAULT_MARGIN_STEPS: Long = 3

        /** Loading a few experts takes well under a second, but orders may have to be repeated. */
        private val PREPARE_TIMEOUT: Duration = 4.seconds

        /** Bounds the phase transitions per view; a single view can take a change through all of its phases. */
        private const val MAX_TRANSITIONS = 8
    }
}
