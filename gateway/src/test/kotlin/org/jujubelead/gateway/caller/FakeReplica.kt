/** Replica on loopback that responds to each request with bytes chosen by the test. */
package org.jujubelead.gateway.caller

import org.jujubelead.platform.wire.Headers
import java.io.BufferedInputStream
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch

internal class ReceivedRequest(val line: String, val headers: Map<String, String>, val body: String) {
    val id: String get() = checkNotNull(headers[Headers.REQUEST_ID.lowercase()]) { "no id in $line, $headers" }
    val length: Int get() = headers["content-length"]?.toInt() ?: 0
}

/** Sends the response to one request; the connection can also be closed or reset. */
internal class Reply(
    val request: ReceivedRequest,
    private val out: OutputStream,
    private val socket: Socket,
    private val replica: FakeReplica,
) {
    fun raw(text: String) {
        out.write(text.toByteArray())
        out.flush()
    }

    fun ok(body: String, id: String = request.id) =
        raw(
            "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: $id\r\n${Headers.REPLICA_SEAL}: s\r\nContent-Length: ${body.length}\r\n\r\n$body",
        )

    fun full() = raw("HTTP/1.1 503 Full\r\n${Headers.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n")

    fun streamHead() = raw(
        "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: ${request.id}\r\n${Headers.REPLICA_SEAL}: s\r\n" +
            "Content-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n",
    )

    /** Starts a stream that ends with the connection. */
    fun unframedHead() = raw(
        "HTTP/1.1 200 OK\r\n${Headers.REQUEST_ID}: ${request.id}\r\n${Headers.REPLICA_SEAL}: s\r\n" +
            "Content-Type: text/event-stream\r\n\r\n",
    )

    fun chunk(text: String) = raw("${text.length.toString(16)}\r\n$text\r\n")

    fun events(ids: IntRange) = ids.forEach { chunk("id: $it\ndata: e$it\n\n") }

    fun endStream() = raw("0\r\n\r\n")

    fun close() = socket.close()

    /** Ends the response and reads on. */
    fun halfClose() = socket.shutdownOutput()

    /** Returns when the replica is closed. */
    fun hold() = replica.closed.await()

    /** Ends the replica without resetting its connections. */
    fun stop() = replica.close()

    /** Ends the replica: its connections are reset, and new ones are refused. */
    fun crash() = replica.crash()

    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }
}

/** @param readsBody false if requests are answered once their head was read; the body is read and dropped after that. */
internal class FakeReplica(private val readsBody: Boolean, private val answer: (Reply) -> Unit) : AutoCloseable {
    constructor(answer: (Reply) -> Unit) : this(readsBody = true, answer)

    private val server = ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"))
    private val sockets = ConcurrentLinkedQueue<Socket>()
    val requests = ConcurrentLinkedQueue<ReceivedRequest>()
    val port: Int get() = server.localPort
    val closed = CountDownLatch(1)

    /** Counted down when the gateway ends a connection after a request. */
    val disconnected = CountDownLatch(1)

    /** True if the gateway reset a connection instead of closing it. */
    @Volatile
    var wasReset = false
        private set

    private val acceptEnded = CountDownLatch(1)

    init {
        startDaemon {
            try {
                while (!server.isClosed) {
                    val socket = server.accept()
                    sockets += socket
                    startDaemon { serve(socket) }
                }
            } finally {
                acceptEnded.countDown()
            }
        }
    }

    /** Refuses new connections once this returns; the port stays open while a thread is blocked in accept. */
    private fun stopListening() {
        server.close()
        acceptEnded.await()
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val request = read(input)
            if (request == null) {
                disconnected.countDown()
                return
            }
            requests += request
            answer(Reply(request, socket.getOutputStream(), socket, this))
            if (!readsBody) input.skipNBytes(request.length.toLong())
        }
    }

    private fun read(input: BufferedInputStream): ReceivedRequest? {
        val line = readLine(input) ?: return null
        val headers = HashMap<String, String>()
        while (true) {
            val text = readLine(input) ?: return null
            if (text.isEmpty()) break
            headers[text.substringBefore(':').lowercase()] = text.substringAfter(':').trim()
        }
        val request = ReceivedRequest(line, headers, body = "")
        if (!readsBody) return request
        return ReceivedRequest(line, headers, String(input.readNBytes(request.length)))
    }

    private fun readLine(input: BufferedInputStream): String? {
        val text = StringBuilder()
        while (true) {
            val c = input.read()
            if (c < 0) return null
            if (c == '\n'.code) return text.toString().trimEnd('\r')
            text.append(c.toChar())
        }
    }

    private fun startDaemon(run: () -> Unit) {
        Thread {
            try {
                run()
            } catch (e: IOException) {
                // The test or the gateway closed the socket.
                if (e.message.orEmpty().contains("reset")) wasReset = true
                disconnected.countDown()
            }
        }.apply { isDaemon = true }.start()
    }

    fun crash() {
        stopListening()
        sockets.forEach {
            it.setSoLinger(true, 0)
            it.close()
        }
    }

    override fun close() {
        closed.countDown()
        stopListening()
        sockets.forEach { it.close() }
    }
}
