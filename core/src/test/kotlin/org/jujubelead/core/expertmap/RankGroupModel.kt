/** A group of ranks that follows the platform's rules for expert maps, with orders that are lost, late or repeated. */
package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import kotlin.random.Random

internal class RankGroupModel(private val size: Int, private val random: Random) {
    private class Rank {
        var map = MapVersion(0)
        var highest = MapVersion(0)
        var prepared: MapVersion? = null
        var armed: ArmedMap? = null
        var heldAt: Long? = null
    }

    private class LateOrder(val rank: Int, val order: MapOrder, val epoch: Long, val dueAt: Timestamp)

    private var ranks = List(size) { Rank() }
    private val late = ArrayList<LateOrder>()
    private var epoch = 1L
    private var step = 0L

    /** Passes that began while two ranks had different maps. */
    val mixedPasses = ArrayList<Long>()
    val held: Boolean get() = ranks.any { it.heldAt == step + 1 }
    val maps: Set<MapVersion> get() = ranks.mapTo(HashSet()) { it.map }

    fun observe(rank: Int, now: Timestamp): RankObservation = with(ranks[rank]) {
        RankObservation(
            rank = rank, size = size, epoch = epoch, open = true, step = step, map = map, prepared = prepared,
            armed = armed, heldAt = heldAt, slowdown = 1.0, running = 0, observedAt = now,
        )
    }

    /** Gives an order. It is carried out at once, later, or not at all; true when it is answered as accepted. */
    fun order(rank: Int, order: MapOrder, epoch: Long, now: Timestamp, lateFraction: Double): Boolean {
        if (random.nextDouble() >= lateFraction) return carryOut(rank, order, epoch)
        if (random.nextBoolean()) {
            late +=
                LateOrder(rank, order, epoch, Timestamp(now.micros + random.nextLong(MAX_DELAY_MICROS)))
        }
        return false
    }

    fun tick(now: Timestamp) {
        val due = late.filter { it.dueAt <= now }
        late.removeAll(due)
        due.shuffled(random).forEach { carryOut(it.rank, it.order, it.epoch) }
    }

    /** Begins a pass unless the group is held. */
    fun pass() {
        if (held) return
        step++
        for (r in ranks) {
            val a = r.armed
            if (a != null && a.step == step) {
                r.map = a.version
                r.prepared = null
                r.armed = null
            }
        }
        if (maps.size > 1) mixedPasses += step
    }

    /** The group breaks and forms anew. */
    fun reform() {
        epoch++
        ranks = List(size) { Rank() }
    }

    private fun carryOut(rank: Int, order: MapOrder, at: Long): Boolean {
        if (at != epoch) return false
        val r = ranks[rank]
        return when (order) {
            is MapOrder.Prepare -> (order.version > r.highest && r.armed == null).also {
                if (it) {
                    r.highest = order.version
                    r.prepared = order.version
                }
            }

            is MapOrder.Arm -> (r.prepared == order.version && order.step > step).also {
                if (it) r.armed = ArmedMap(order.version, order.step)
            }

            is MapOrder.Hold -> (order.step > step && (r.heldAt == null || r.heldAt == order.step)).also {
                if (it) r.heldAt = order.step
            }

            is MapOrder.Release -> (r.heldAt == order.step).also { if (it) r.heldAt = null }
        }
    }

    private companion object {
        /** Late orders are carried out up to this many microseconds later. */
        const val MAX_DELAY_MICROS = 12_000_000L
    }
}
