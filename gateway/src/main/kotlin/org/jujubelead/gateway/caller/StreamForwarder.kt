/**
 * Forwards the events of one replica's stream, a limited number in each turn of the event loop.
 *
 * Events that are left over wait for the next turn, and the replica is not read meanwhile. The same holds while the
 * caller does not read. Runs on the data plane's event loop.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import org.jujubelead.core.stream.StreamProgress
import org.jujubelead.gateway.net.TurnLimits
import org.jujubelead.gateway.schedule.scheduleOnce
import java.util.concurrent.Future

internal class StreamForwarder(private val loop: EventLoop, private val output: Output) {
    /** Receives what is forwarded. */
    interface Output {
        /** False while the caller does not read. */
        val writable: Boolean

        /** Receives an event, and takes ownership of [bytes]. */
        fun onEvent(id: Long?, bytes: ByteBuf)

        /** Sends the events that were received. */
        fun flush()

        /** Starts or stops the reading of the replica. */
        fun setReading(on: Boolean)

        /** The stream cannot be continued. Nothing follows. */
        fun onFaulty(reason: String)

        /** The response has ended, and all of its whole events were received. Nothing follows. */
        fun onDrained()
    }

    /** How a turn ended. */
    private sealed interface TurnEnd {
        /** No whole event is left. */
        data object Drained : TurnEnd

        /** The caller does not read. */
        data object Blocked : TurnEnd

        /** The limit of a turn was reached. */
        data object LimitReached : TurnEnd

        class Faulty(val reason: String) : TurnEnd
    }

    private val splitter = EventStreamSplitter()
    private val progress = StreamProgress()
    private var continuation: Future<*>? = null
    private var inputEnded = false
    private var ended = false

    /** True if the response has ended within an event. */
    val partial: Boolean get() = splitter.partial

    /** Adds bytes of the response; [forward] follows once the turn's bytes were added. */
    fun append(bytes: ByteBuf) {
        if (!ended) splitter.append(bytes)
    }

    /** Forwards what is left and ends then. */
    fun endInput() {
        inputEnded = true
        forward()
    }

    fun cancel() {
        ended = true
        continuation?.cancel(false)
    }

    /** Continues after the caller has read. */
    fun onWritable() {
        if (!ended) continueLater()
    }

    /** Forwards events, unless some are left over from an earlier turn. */
    fun forward() {
        if (ended || continuation != null) return
        val end = forwardTurn()
        if (end is TurnEnd.Faulty) ended = true
        output.flush()
        when (end) {
            is TurnEnd.Drained -> onDrained()

            is TurnEnd.Blocked -> output.setReading(false)

            is TurnEnd.LimitReached -> {
                output.setReading(false)
                continueLater()
            }

            is TurnEnd.Faulty -> output.onFaulty(end.reason)
        }
    }

    private fun onDrained() {
        when {
            ended -> Unit

            !inputEnded -> output.setReading(true)

            else -> {
                cancel()
                output.onDrained()
            }
        }
    }

    private fun continueLater() {
        if (continuation != null) return
        continuation = loop.scheduleOnce(TurnLimits.CONTINUATION_DELAY, "stream") {
            continuation = null
            forward()
        }
    }

    private fun forwardTurn(): TurnEnd {
        var bytes = 0
        repeat(TurnLimits.MAX_EVENTS) {
            if (!output.writable) return TurnEnd.Blocked
            if (bytes > TurnLimits.MAX_EVENT_BYTES) return TurnEnd.LimitReached
            when (val part = splitter.next()) {
                is StreamPart.Incomplete -> return TurnEnd.Drained

                is StreamPart.Invalid -> return TurnEnd.Faulty(part.reason)

                is StreamPart.BlankLine -> if (!progress.recordBlankLine()) return TurnEnd.Faulty("blank-stream")

                is StreamPart.Event -> {
                    if (!progress.recordEvent(part.id)) return TurnEnd.Faulty("repeated-events")
                    bytes += part.bytes.readableBytes()
                    output.onEvent(part.id, part.bytes)
                    if (ended) return TurnEnd.Drained
                }
            }
        }
        return TurnEnd.LimitReached
    }
}
