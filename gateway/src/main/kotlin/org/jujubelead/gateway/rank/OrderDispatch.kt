/**
 * What the clients of all ranks share while one coordinator sends orders: timeouts that follow the answers, encoded
 * maps, and counts of the messages. Used on the agent's event loop.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.AdaptiveTimeout
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.SwitchDuration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class OrderDispatch(val switchDuration: SwitchDuration = SwitchDuration()) {
    val traffic = CoordinatorTraffic()
    private val smallOrderTimeout = AdaptiveTimeout(min = 300.milliseconds, max = 1_500.milliseconds)

    /** The receiver's replica loads experts before it answers. */
    private val mapTimeout = AdaptiveTimeout(min = 750.milliseconds, max = 3.seconds)

    private class EncodedMap(val order: MapOrder.Prepare, val epoch: Long, val message: PrepareOrder)

    private var lastMap: EncodedMap? = null

    /** Timeout of a call that passes on [order]. */
    fun timeoutOf(order: MapOrder): AdaptiveTimeout = if (order is MapOrder.Prepare) mapTimeout else smallOrderTimeout

    /** Records that [order] was answered completely after [took]. */
    fun answered(order: MapOrder, took: Duration) {
        timeoutOf(order).answered(took)
        switchDuration.orderAnswered(took)
    }

    /** Records that [order] got no answer. */
    fun unanswered(order: MapOrder) {
        timeoutOf(order).expired()
        switchDuration.orderUnanswered()
    }

    /** Returns the message for [order]; with the [complete] map if the agent does not know the base. */
    fun prepareOrder(order: MapOrder.Prepare, epoch: Long, complete: Boolean): PrepareOrder {
        val version = order.version.value
        val base = order.base
        if (base == null || complete) return PrepareOrder(version, epoch, map = encodeMap(order.map))
        lastMap?.let { if (it.order.version == order.version && it.epoch == epoch) return it.message }
        val message = PrepareOrder(
            version = version,
            epoch = epoch,
            base = base.version.value,
            initial = InitialMap.shapeOf(base.map),
            changes = encodeChanges(base.map, order.map),
        )
        lastMap = EncodedMap(order, epoch, message)
        return message
    }
}
