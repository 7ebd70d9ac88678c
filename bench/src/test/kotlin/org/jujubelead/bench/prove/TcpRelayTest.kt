package org.jujubelead.bench.prove

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

class TcpRelayTest {
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val relay = TcpRelay(server.localPort)

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.getInputStream().copyTo(socket.getOutputStream(), 1) } }
            }
        }
    }

    @AfterEach
    fun stop() {
        relay.close()
        server.close()
    }

    private fun connect() = Socket(InetAddress.getLoopbackAddress(), relay.port).apply { soTimeout = 500 }

    private fun Socket.echo(value: Int): Int {
        getOutputStream().write(value)
        return getInputStream().read()
    }

    /** Guards against a freeze that closes the connection, or that also stops new ones. */
    @Test
    fun `a frozen connection is silent while new ones work`() {
        val old = connect()
        expectThat(old.echo(7)).isEqualTo(7)
        relay.freeze()
        assertThrows<SocketTimeoutException> { old.echo(8) }
        expectThat(connect().echo(9)).isEqualTo(9)
    }

    /** Guards against a cut or a refusal that leaves the caller waiting. */
    @Test
    fun `cut and refused connections end`() {
        val old = connect()
        expectThat(old.echo(7)).isEqualTo(7)
        relay.cut()
        expectThat(runCatching { old.getInputStream().read() }.getOrDefault(-1)).isEqualTo(-1)
        relay.refusing = true
        expectThat(runCatching { connect().getInputStream().read() }.getOrDefault(-1)).isEqualTo(-1)
    }

    private fun Socket.endedByReset() = runCatching { getInputStream().read() }.exceptionOrNull() is SocketException

    /** Guards against a relay after which an answer without a length looks complete although it was reset. */
    @Test
    fun `a reset and an orderly end are passed on as they were`() {
        ServerSocket(0, 10, InetAddress.getLoopbackAddress()).use { target ->
            relay.targetPort = target.localPort
            val ended = connect()
            val far = target.accept()
            far.shutdownOutput()
            expectThat(ended.getInputStream().read()).isEqualTo(-1)
            ended.getOutputStream().write(7)
            expectThat(far.getInputStream().read()).isEqualTo(7)

            val reset = connect()
            val resetting = target.accept()
            resetting.getOutputStream().write(7)
            expectThat(reset.getInputStream().read()).isEqualTo(7)
            resetting.setSoLinger(true, 0)
            resetting.close()
            expectThat(reset.endedByReset()).isTrue()
        }
    }

    /** Sends a request of some megabytes, and returns whether the answer ends in an orderly way meanwhile. */
    private fun endsOrderlyDuringRequest(): Boolean = connect().use { socket ->
        socket.soTimeout = 5_000
        var writeFailed = false
        val writer = thread(isDaemon = true) {
            writeFailed = runCatching { repeat(200) { socket.getOutputStream().write(ByteArray(16 * 1024)) } }.isFailure
        }
        val readToEnd = runCatching { while (socket.getInputStream().read() >= 0) Unit }.isSuccess
        writer.join()
        // A read beside a write that meets the reset sees an orderly end.
        readToEnd && !writeFailed
    }

    /** Serves connections to the relay with a part of an answer, and [end]s them while the request is being sent. */
    private fun serveDuringRequest(target: ServerSocket, end: (Socket) -> Unit) {
        relay.targetPort = target.localPort
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { target.accept() }.getOrNull() ?: break
                thread(isDaemon = true) {
                    socket.getInputStream().read()
                    socket.getOutputStream().write(7)
                    Thread.sleep(2)
                    end(socket)
                }
            }
        }
    }

    /** Guards against an answer that looks complete only because the relay hid the reset that a write had met. */
    @Test
    fun `a reset during the request is not passed on as an orderly end`() {
        ServerSocket(0, 64, InetAddress.getLoopbackAddress()).use { target ->
            serveDuringRequest(target) {
                it.setSoLinger(true, 0)
                it.close()
            }
            expectThat((1..CONNECTIONS).count { endsOrderlyDuringRequest() }).isEqualTo(0)
        }
    }

    @Test
    fun `an orderly end during the request is passed on`() {
        ServerSocket(0, 64, InetAddress.getLoopbackAddress()).use { target ->
            serveDuringRequest(target) { socket ->
                socket.shutdownOutput()
                while (socket.getInputStream().read(ByteArray(16 * 1024)) >= 0) Unit
            }
            expectThat((1..CONNECTIONS).count { endsOrderlyDuringRequest() }).isEqualTo(CONNECTIONS)
        }
    }

    /** Guards against a reset that callers take for an orderly end. */
    @Test
    fun `connections that the relay resets do not end in an orderly way`() {
        val connection = connect()
        expectThat(connection.echo(7)).isEqualTo(7)
        relay.reset()
        expectThat(connection.endedByReset()).isTrue()
    }

    private companion object {
        const val CONNECTIONS = 200
    }
}
