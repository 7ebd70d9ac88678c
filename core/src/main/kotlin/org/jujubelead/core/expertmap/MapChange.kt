/**
 * Changes the expert map of a group so that all ranks switch at the same pass.
 *
 * Ranks do not compare maps and know nothing of leadership, and an order without an answer can be carried out seconds
 * later, after newer ones. What a rank does check is the epoch, that a version is above all it has had, that an armed
 * version is the prepared one, and that a pass has not begun. The change uses only these:
 *
 * 1. All ranks prepare the new map. A late order for an older version is void from then on.
 * 2. The coordinator proves that it still leads.
 * 3. One rank holds the group before pass S, which no rank has begun.
 * 4. All ranks are armed for S. None can switch, since the group cannot begin S.
 * 5. When all are seen armed, the hold is released.
 *
 * A change that has reached step 3 is only ever completed, never taken back: a release is sent only when all ranks are
 * armed and no rank is ever disarmed, so a late release or arm cannot make a part of the ranks switch. A coordinator
 * that finds a hold of a predecessor completes that change in the same way. Pure: the caller passes observations and
 * the time, and sends the orders. Mutable; owned by the control thread.
 */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Where a change stands. */
public sealed interface ChangePhase {
    public data object Idle : ChangePhase

    public data class Preparing(val version: MapVersion, val map: GroupMap, val deadline: Timestamp) : ChangePhase

    /** Waits for [MapChange.leadershipConfirmed]. */
    public data class Proving(val version: MapVersion, val map: GroupMap) : ChangePhase

    public data class Holding(val version: MapVersion, val map: GroupMap, val step: Long) : ChangePhase

    /** The group is held before pass [step], or armed for it. [map] is null when a predecessor planned it. */
    public data class Switching(val version: MapVersion, val map: GroupMap?, val step: Long) : ChangePhase
}

/**
 * @param versionFloor all versions of this coordinator are above it, and above those of its predecessors.
 * @param marginSteps passes between the latest pass that was seen and the switch.
 * @param holder the rank that holds a group of the given size: not the one beside the coordinator, so that a suspended
 * instance does not take both the hold and the coordinator with it.
 */
public class MapChange(
    versionFloor: MapVersion,
    private val marginSteps: Long = DEFAULT_MARGIN_STEPS,
    private val holder: (size: Int) -> Int = { 1 % it },
) {
    public var phase: ChangePhase = ChangePhase.Idle
        private set

    /** The map in use; null while this coordinator does not know it. */
    public var current: GroupMap? = null
        private set
    private var epoch: Long? = null
    private var lastVersion = versionFloor

    /** [current] with its version. */
    private var base: VersionedMap? = null

    /** True when a new change can begin. */
    public val idle: Boolean get() = phase == ChangePhase.Idle

    /** Sets the map that the ranks are seen to use. */
    public fun updateCurrent(map: GroupMap) {
        if (idle) current = map
    }

    /** Begins a change to [map]. */
    public fun propose(map: GroupMap, now: Timestamp) {
        check(idle) { "a change is in progress" }
        phase = ChangePhase.Preparing(nextVersion(), map, now + PREPARE_TIMEOUT)
    }

    /** The coordinator has proved its leadership after it saw the ranks prepared. */
    public fun leadershipConfirmed(view: Map<Int, RankObservation>) {
        val p = phase as? ChangePhase.Proving ?: return
        if (!complete(view)) return
        phase = ChangePhase.Holding(p.version, p.map, step = view.values.maxOf { it.step } + marginSteps)
    }

    /** The coordinator no longer leads. A change that has not reached the hold is dropped. */
    public fun leadershipLost() {
        if (phase is ChangePhase.Preparing || phase is ChangePhase.Proving) phase = ChangePhase.Idle
    }

    /** The orders to send now, at most one to a rank. [view] has the latest observation of each rank. */
    public fun nextOrders(view: Map<Int, RankObservation>, now: Timestamp): Map<Int, MapOrder> {
        if (!complete(view)) return emptyMap()
        trackView(view)
        repeat(MAX_TRANSITIONS) {
            val before = phase
            val orders = advance(view, now)
            if (phase == before) return orders
        }
        return emptyMap()
    }

    /** True when [view] has one observation of each rank of one open group. */
    public fun complete(view: Map<Int, RankObservation>): Boolean {
        val any = view.values.firstOrNull() ?: return false
        return view.size == any.size && view.values.all { it.epoch == any.epoch && it.open && it.size == any.size }
    }

    private fun trackView(view: Map<Int, RankObservation>) {
        val seen = view.values.first().epoch
        if (epoch != null && epoch != seen) {
            phase = ChangePhase.Idle
            current = null
        }
        epoch = seen
        val inUse = view.values.first().map
        if (base?.map !== current || base?.version != inUse) base = current?.let { VersionedMap(inUse, it) }
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

    /** Goes on to the switch when a rank is armed, or when the group is held and all ranks have one map prepared. */
    private fun enterSwitchIfStarted(view: Map<Int, RankObservation>): Boolean {
        val armed = view.values.firstNotNullOfOrNull { it.armed }
        val step = armed?.step ?: view.values.firstNotNullOfOrNull { it.heldAt } ?: return false
        val version = armed?.version ?: view.values.mapTo(HashSet()) { it.prepared }.singleOrNull() ?: return false
        phase = ChangePhase.Switching(version, plannedMap(version), step)
        return true
    }

    /** The map of [version], if this coordinator planned it. */
    private fun plannedMap(version: MapVersion): GroupMap? = when (val p = phase) {
        is ChangePhase.Preparing -> p.map.takeIf { p.version == version }
        is ChangePhase.Proving -> p.map.takeIf { p.version == version }
        is ChangePhase.Holding -> p.map.takeIf { p.version == version }
        is ChangePhase.Switching -> p.map.takeIf { p.version == version }
        is ChangePhase.Idle -> null
    }

    /** A hold that finds the ranks with different maps prepared: the map in use is prepared anew by all of them. */
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
        return missing.associate { it.rank to MapOrder.Prepare(p.version, p.map, base) }
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
            current = p.map
            phase = ChangePhase.Idle
            return emptyMap()
        }
        val holder = view.values.firstOrNull { it.heldAt == p.step }
        if (holder == null) {
            // The pass has begun with another map: what was seen was out of date when it was acted on.
            val missedStep =
                view.values.none { it.armed != null || it.map == p.version } && view.values.all { it.step > p.step }
            if (missedStep) {
                current = null
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
        /** Holding and arming take about one pass; a pass that begins earlier costs another proof of leadership. */
        public const val DEFAULT_MARGIN_STEPS: Long = 3

        /** Loading some experts takes well under a second; orders may have to be repeated. */
        private val PREPARE_TIMEOUT: Duration = 4.seconds

        /** A view can carry a change through all its phases at once, but not further. */
        private const val MAX_TRANSITIONS = 8
    }
}
