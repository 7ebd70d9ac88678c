/**
 * Splits an event stream into complete events.
 *
 * An event ends with an empty line. Only complete events are forwarded, so that a stream that is cut off within an
 * event can resume at the start of that event on another replica.
 */
package org.jujubelead.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** @param onEvent receives the id of each event, null if it has none, and its bytes, of which it takes ownership. */
internal class EventStreamSplitter(private val onEvent: (id: Long?, bytes: ByteBuf) -> Unit) {
    private val pending = Unpooled.buffer()

    /** True if bytes of an incomplete event are buffered. */
    val partial: Boolean get() = pending.isReadable

    fun append(bytes: ByteBuf) {
        pending.writeBytes(bytes)
        while (true) {
            val end = eventEnd()
            if (end < 0) break
            val event = pending.readBytes(end - pending.readerIndex())
            onEvent(idOf(event), event)
        }
        pending.discardSomeReadBytes()
    }

    /** Returns the index after the empty line that ends the first buffered event; -1 if there is none. */
    private fun eventEnd(): Int {
        var lineStart = pending.readerIndex()
        while (true) {
            val newline = pending.indexOf(lineStart, pending.writerIndex(), LF)
            if (newline < 0) return -1
            val length = newline - lineStart
            val empty = length == 0 || (length == 1 && pending.getByte(lineStart) == CR)
            if (empty) return newline + 1
            lineStart = newline + 1
        }
    }

    private fun idOf(event: ByteBuf): Long? =
        event.toString(Charsets.UTF_8).lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
