/**
 * A TCP relay on loopback with injected faults: cut, silent freeze of open connections, delay, and refusal.
 *
 * A frozen connection stays open and carries nothing more, while new connections work. The end of one side is passed
 * on as it was, orderly or by a reset: an answer without a length is complete only if it ends in an orderly way.
 */
package org.jujubelead.bench.prove

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val BUFFER_BYTES = 16 * 1024
private const val BACKLOG = 128
private const val CONNECT_TIMEOUT_MS = 1_000
private const val STACK_BYTES = 128L * 1024

/** A write that takes longer waits for a peer that does not read, and has met no reset. */
private const val MAX_WRITE_NANOS = 200_000_000L

/** The relay; it accepts at [port] and connects to [targetPort], which can change when the target is replaced. */
public class TcpRelay(@Volatile public var targetPort: Int) : AutoCloseable {
    /** One of the two sockets of a link. */
    private class Side(val socket: Socket) {
        @Volatile
        private var writing = false

        @Volatile
        private var writeFailed = false

        fun write(bytes: ByteArray, count: Int) {
            writing = true
            try {
                socket.getOutputStream().write(bytes, 0, count)
            } catch (e: IOException) {
                writeFailed = true
                throw e
            } finally {
                writing = false
            }
        }

        /**
         * Returns whether the end that was read from this side is a reset. Only one call on a socket learns of a reset;
         * if that is a write, a read beside it sees an orderly end.
         */
        fun wasReset(): Boolean {
            val until = System.nanoTime() + MAX_WRITE_NANOS
            while (writing && System.nanoTime() < until) Thread.sleep(1)
            return writeFailed
        }
    }

    private class Link(val near: Side, val far: Side) {
        @Volatile
        var frozen = false

        /** True once one side has ended its bytes. */
        private var ended = false

        fun close() {
            near.socket.close()
            far.socket.close()
        }

        /** Ends the bytes to one side, and the connection once both sides have ended. */
        @Synchronized
        fun endOutput(to: Side) {
            if (ended) return close()
            ended = true
            to.socket.shutdownOutput()
        }

        fun reset() {
            for (side in listOf(near, far)) {
                try {
                    side.socket.setSoLinger(true, 0)
                } catch (_: SocketException) {
                    // Closed already.
                }
            }
            close()
        }
    }

    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val links = ConcurrentHashMap.newKeySet<Link>()

    /** Port to connect to. */
    public val port: Int = server.localPort

    /** Delay of each chunk in each direction. */
    @Volatile
    public var delayMs: Long = 0

    /** True while new connections are closed at once. */
    @Volatile
    public var refusing: Boolean = false

    init {
        thread(isDaemon = true, name = "relay-$port") { acceptAll() }
    }

    /** Closes all open connections. */
    public fun cut(): Unit = links.forEach { it.close() }

    /** Resets all open connections. */
    public fun reset(): Unit = links.forEach { it.reset() }

    /** Silences all open connections for good. New ones work. */
    public fun freeze(): Unit = links.forEach { it.frozen = true }

    override fun close() {
        server.close()
        cut()
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val near = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            if (refusing) near.close() else start("relay-$port-open") { open(near) }
        }
    }

    private fun open(near: Socket) {
        val far = Socket()
        try {
            far.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_TIMEOUT_MS)
        } catch (_: IOException) {
            near.close()
            return
        }
        near.tcpNoDelay = true
        far.tcpNoDelay = true
        val link = Link(Side(near), Side(far))
        links += link
        start("relay-$port-back") { copy(link, link.far, link.near) }
        copy(link, link.near, link.far)
    }

    private fun copy(link: Link, from: Side, to: Side) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.socket.getInputStream().read(buffer)
                if (count < 0) break
                if (delayMs > 0) Thread.sleep(delayMs)
                if (!link.frozen) to.write(buffer, count)
            }
            val reset = from.wasReset()
            if (!link.frozen) if (reset) link.reset() else link.endOutput(to)
        } catch (_: IOException) {
            // One side reset the connection. The other side of a frozen connection does not learn of it.
            if (!link.frozen) link.reset()
        }
        if (link.frozen || link.near.socket.isClosed) links -= link
    }

    private fun start(name: String, body: () -> Unit) {
        Thread(null, body, name, STACK_BYTES).apply { isDaemon = true }.start()
    }
}
