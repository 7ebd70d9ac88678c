/**
 * Relays orders from one agent to others, on behalf of the coordinator, and collects their results.
 *
 * Runs on the agent's event loop.
 */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.decodeJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class OrderRelay(private val runtime: AgentRuntime) {
    /**
     * Relays [order] to the agents that it names, and passes their results to [done] once all have answered or timed
     * out. [map] is the map of an order to prepare one.
     */
    fun send(order: RankOrder, map: GroupMap?, done: (List<OrderResult?>) -> Unit) {
        if (order.relayTo.isEmpty()) return done(emptyList())
        val relayed = encode(order.copy(relayTo = emptyList(), relayMillis = 0))
        val complete = order.prepare?.takeIf { map != null }?.let { p ->
            lazy {
                val prepare = PrepareOrder(p.version, p.epoch, map = encodeMap(map.orEmpty()))
                encode(RankOrder(order.group, order.term, body = null, prepare = prepare, expected = order.expected))
            }
        }
        val results = arrayOfNulls<OrderResult>(order.relayTo.size)
        var pending = results.size
        order.relayTo.forEachIndexed { i, address ->
            sendTo(address, order.relayMillis.milliseconds, relayed, complete) {
                results[i] = it
                if (--pending == 0) done(results.asList())
            }
        }
    }

    private fun encode(order: RankOrder): String = rankJson.encodeToString(RankOrder.serializer(), order)

    /** Sends [order]; an agent that does not know the base of its map gets [complete] instead. */
    private fun sendTo(
        address: String,
        timeout: Duration,
        order: String,
        complete: Lazy<String>?,
        done: (OrderResult?) -> Unit,
    ) {
        val agent = Endpoint.parse(address) ?: return done(null)
        val client = runtime.clients.connect(agent, timeout)
        val ended = { status: Int?, body: String? ->
            client.close()
            val result = body?.let { decodeJson("order result", OrderResult.serializer(), it).get() }
            if (result == null) {
                runtime.log.log(
                    LogEvent.ORDER_NOT_RELAYED,
                    "agent" to agent,
                    "status" to status,
                    "answered" to (body != null),
                )
            }
            done(result)
        }
        client.post(RankPaths.ORDER, order) { first ->
            if (first.get()?.status == STATUS_NOT_FOUND && complete != null) {
                client.post(RankPaths.ORDER, complete.value) { ended(it.get()?.status, it.successBody()) }
            } else {
                ended(first.get()?.status, first.successBody())
            }
        }
    }

    private companion object {
        const val STATUS_NOT_FOUND = 404
    }
}
