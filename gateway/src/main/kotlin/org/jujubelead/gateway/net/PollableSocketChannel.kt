/** Socket channel that can be read outside of its event loop's read cycle, to find input that nothing has asked for. */
package org.jujubelead.gateway.net

import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.ByteBuffer

internal class PollableSocketChannel : NioSocketChannel() {
    /** Reads into [buffer] without waiting. Returns the number of bytes; -1 if the peer has closed the connection. */
    fun poll(buffer: ByteBuffer): Int = try {
        javaChannel().read(buffer)
    } catch (_: IOException) {
        -1 // The connection was reset.
    }
}
