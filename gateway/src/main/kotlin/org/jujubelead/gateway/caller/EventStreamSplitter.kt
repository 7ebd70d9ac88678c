/**
 * Splits an event stream into complete events.
 *
 * An event ends with an empty line. Only complete events are forwarded, so that a stream that is cut off within an
 * event can resume at the start of that event on another replica. The size of an event is bounded, because a faulty
 * replica can send bytes without ever ending an event. A stream that ends with its connection can go on with the head
 * of another response, also in the middle of an event: what contains lines of a head is no event.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.jujubelead.platform.wire.Headers

/** What a stream has next. */
internal sealed interface StreamPart {
    /** A whole event; [id] is null if it has none. The receiver takes ownership of [bytes]. */
    class Event(val id: Long?, val bytes: ByteBuf) : StreamPart

    /** An empty line outside of an event. */
    data object BlankLine : StreamPart

    /** No whole event has arrived. */
    data object Incomplete : StreamPart

    /** What is no event; the stream cannot be continued. */
    class Invalid(val reason: String) : StreamPart
}

internal class EventStreamSplitter(private val maxEventBytes: Int = MAX_EVENT_BYTES) {
    private val pending = Unpooled.buffer()

    /** Offset in [pending] of the line that is being read; the lines before it belong to the event. */
    private var lineOffset = 0

    /** Offset in [pending] up to which that line has no end; these bytes are not searched again. */
    private var searchedOffset = 0

    /** True if bytes of an incomplete event are buffered. */
    val partial: Boolean get() = pending.isReadable

    fun append(bytes: ByteBuf) {
        pending.discardSomeReadBytes()
        pending.writeBytes(bytes)
    }

    /** Removes the next part of the stream. */
    fun next(): StreamPart {
        val size = sizeOfEvent()
        return when {
            (size ?: pending.readableBytes()) > maxEventBytes -> StreamPart.Invalid("event-too-large")
            size == null -> StreamPart.Incomplete
            lineOffset == 0 -> StreamPart.BlankLine.also { skip(size) }
            else -> removeEvent(size)
        }
    }

    private fun removeEvent(size: Int): StreamPart {
        val lines = pending.toString(pending.readerIndex(), size, Charsets.UTF_8).lines()
        if (lines.any(::belongsToHead)) return StreamPart.Invalid("head-in-stream")
        val bytes = pending.readBytes(size)
        skip(0)
        return StreamPart.Event(idOf(lines), bytes)
    }

    /** Skips [bytes] and begins a line. */
    private fun skip(bytes: Int) {
        pending.skipBytes(bytes)
        lineOffset = 0
        searchedOffset = 0
    }

    /** Returns the number of bytes up to the end of the first empty line; null if none has arrived. */
    private fun sizeOfEvent(): Int? {
        val start = pending.readerIndex()
        while (true) {
            val newline = pending.indexOf(start + searchedOffset, pending.writerIndex(), LF) - start
            if (newline < 0) {
                searchedOffset = pending.readableBytes()
                return null
            }
            val length = newline - lineOffset
            val empty = length == 0 || (length == 1 && pending.getByte(start + lineOffset) == CR)
            if (empty) return newline + 1
            lineOffset = newline + 1
            searchedOffset = lineOffset
        }
    }

    private fun idOf(lines: List<String>): Long? =
        lines.firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private fun belongsToHead(line: String): Boolean = HEAD_LINES.any { line.startsWith(it, ignoreCase = true) }

    private companion object {
        /** Several hundred times the size of an event with a few tokens. */
        const val MAX_EVENT_BYTES = 256 * 1024
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"

        /** Starts of the lines of which each head has one: the status line can follow the cut line of an event. */
        val HEAD_LINES =
            listOf("HTTP/1.", "${Headers.REQUEST_ID}:", "${Headers.REPLICA_SEAL}:", "${Headers.NOT_EXECUTED}:")
    }
}
