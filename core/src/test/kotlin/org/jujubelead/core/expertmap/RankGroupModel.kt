/** Simulates a group of ranks that follows the platform's rules for expert maps; orders can be lost or delayed. */
package org.jujubelead.core.expertmap

import org.jujubelead.core.ids.GroupId
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

    private class DelayedOrder(val rank: Int, val order: MapOrder, val epoch: Long, val dueAt: Timestamp)

    private var ranks = List(size) { Rank() }
    private val delayed = ArrayList<DelayedOrder>()
    private var epoch = 1L
    private var step = 0L

    /** Passes that started while two ranks had different maps. */
    val mixedPasses = ArrayList<Long>()
    val held: Boolean get() = ranks.any { it.heldAt == step + 1 }
    val maps: Set<MapVersion> get() = ranks.mapTo(HashSet()) { it.map }

    fun observe(rank: Int, now: Timestamp): RankObservation = with(ranks[rank]) {
        RankObservation(
            group = GroupId(
                "g",
            ),
            rank = rank, size = size, epoch = epoch, open = true, step = step, map = map, prepared = prepared,
            armed = armed, heldAt = heldAt, slowdown = 1.0, running = 0, observedAt = now,
        )
    }

    /** Sends an order, which is executed now, later, or never. Returns true if it is executed now and accepted. */
    fun order(rank: Int, order: MapOrder, epoch: Long, now: Timestamp, lateFraction: Double): Boolean {
        if (random.nextDouble() >= lateFraction) return execute(rank, order, epoch)
        if (random.nextBoolean()) {
            delayed += DelayedOrder(rank, order, epoch, Timestamp(now.micros + random.nextLong(MAX_DELAY_MICROS)))
        }
        return false
    }

    fun tick(now: Timestamp) {
        val due = delayed.filter { it.dueAt <= now }
        delayed.removeAll(due)
        due.shuffled(random).forEach { execute(it.rank, it.order, it.epoch) }
    }

    /** Starts a pass unless the group is held. */
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

    /** Re-forms the group under a new epoch. */
    fun reform() {
        epoch++
        ranks = List(size) { Rank() }
    }

    private fun execute(rank: Int, order: MapOrder, orderEpoch: Long): Boolean {
        if (orderEpoch != epoch) return false
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
        /** Maximum delay of a delayed order, in microseconds. */
        const val MAX_DELAY_MICROS = 12_000_000L
    }
}
