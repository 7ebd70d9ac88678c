/** Bytes of a peer that belong to no response. */
package org.jujubelead.gateway.net

import io.netty.buffer.ByteBuf
import org.jujubelead.core.replica.Endpoint

/** When stray bytes were found on a connection. */
public enum class StrayArrival {
    /** Behind the last byte of a response, before the connection was idle. */
    AFTER_RESPONSE,

    /** On an idle connection. */
    WHILE_IDLE,

    /** Unread on an idle connection, when the next request was about to be sent. */
    BEFORE_REQUEST,
}

/**
 * @property connection local port of the connection.
 * @property requests number of requests that were sent on the connection.
 * @property idleMillis time since the connection became idle; null if it was not.
 * @property bytes number of bytes that are known.
 * @property text the first of these bytes.
 */
public class StrayBytes(
    public val peer: Endpoint,
    public val connection: Int?,
    public val requests: Int,
    public val arrival: StrayArrival,
    public val idleMillis: Long?,
    public val bytes: Int,
    public val text: String,
) {
    internal companion object {
        const val MAX_TEXT_BYTES = 48

        fun textOf(bytes: ByteBuf): String =
            bytes.toString(bytes.readerIndex(), minOf(bytes.readableBytes(), MAX_TEXT_BYTES), Charsets.ISO_8859_1)
    }
}
