/**
 * Counts the messages of a coordinator by kind, how long its orders take, and how late its event loop is.
 *
 * A coordinator shares the link and the processor of a small instance with a replica. Whether a slow change of a map is
 * due to its messages, to their number or to an agent can be told only from counts of the same second. Used on the
 * agent's event loop.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration

/** Kind of a message that a coordinator receives or sends. */
internal enum class MessageKind(val countField: String, val bytesField: String) {
    STATUS("statuses", "statusBytes"),
    ORDER("orders", "orderBytes"),
    RESULT("results", "resultBytes"),
    DIRECT_READ("directReads", "directReadBytes"),
}

internal class CoordinatorTraffic {
    private class Count {
        var messages = 0
        var bytes = 0L
    }

    private val counts = MessageKind.entries.associateWith { Count() }
    private var slowestOrder = Duration.ZERO
    private var unanswered = 0
    private var loopDelay = Duration.ZERO

    /** Adds a message whose body has [bytes] bytes. */
    fun record(kind: MessageKind, bytes: Int) {
        val count = counts.getValue(kind)
        count.messages++
        count.bytes += bytes
    }

    /** Adds an order that was sent at [sentAt] and has ended at [now], [answered] or not. */
    fun recordOrderEnd(sentAt: Timestamp, now: Timestamp, answered: Boolean) {
        slowestOrder = maxOf(slowestOrder, now - sentAt)
        if (!answered) unanswered++
    }

    /** Adds a task that ran [delay] later than scheduled. */
    fun recordLoopDelay(delay: Duration) {
        loopDelay = maxOf(loopDelay, delay)
    }

    /** Log fields with what was counted since the last call. */
    fun drain(): List<Pair<String, Any?>> {
        val fields = counts.flatMap { (kind, count) ->
            listOf(kind.countField to count.messages, kind.bytesField to count.bytes)
        } + listOf(
            "slowestOrderMillis" to slowestOrder.inWholeMilliseconds,
            "unansweredOrders" to unanswered,
            "loopDelayMillis" to loopDelay.inWholeMilliseconds,
        )
        counts.values.forEach {
            it.messages = 0
            it.bytes = 0
        }
        slowestOrder = Duration.ZERO
        unanswered = 0
        loopDelay = Duration.ZERO
        return fields
    }
}
