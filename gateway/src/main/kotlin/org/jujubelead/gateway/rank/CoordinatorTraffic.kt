/**
 * Counts the messages of a coordinator by kind, how long its orders take, and the processor time of its process.
 *
 * A coordinator shares the link and the processor of a small instance with a replica. Whether a slow change of a map is
 * due to its messages, to their number or to an agent can be told only from counts of the same second. Used on the
 * agent's event loop.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.time.Timestamp
import kotlin.jvm.optionals.getOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.toKotlinDuration

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
    private var busyBefore = processorTime()

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

    /** Log fields with what was counted since the last call. */
    fun drain(): List<Pair<String, Any?>> {
        val busy = processorTime()
        val fields = counts.flatMap { (kind, count) ->
            listOf(kind.countField to count.messages, kind.bytesField to count.bytes)
        } + listOf(
            "slowestOrderMillis" to slowestOrder.inWholeMilliseconds,
            "unansweredOrders" to unanswered,
            "processorMillis" to (busy - busyBefore).inWholeMilliseconds,
        )
        counts.values.forEach {
            it.messages = 0
            it.bytes = 0
        }
        slowestOrder = Duration.ZERO
        unanswered = 0
        busyBefore = busy
        return fields
    }

    private fun processorTime(): Duration =
        ProcessHandle.current().info().totalCpuDuration().getOrNull()?.toKotlinDuration() ?: 0.microseconds
}
