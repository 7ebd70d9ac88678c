/** Callers that keep their connections, and what they sent and got. */
package org.jujubelead.bench.soak

import org.jujubelead.platform.standins.readHttpHeaders
import org.jujubelead.platform.standins.readHttpLine
import org.jujubelead.platform.wire.Headers
import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.random.Random

/** How a request ended for its caller. */
internal sealed interface CallEnd {
    /** [last] is true when the gateway said that it closes the connection. */
    data class Answer(val status: Int, val body: String, val whole: Boolean, val last: Boolean = false) : CallEnd

    /** The connection ended before an answer began. */
    data object Closed : CallEnd

    /** Nothing came in time. */
    data object Silent : CallEnd

    /** The connection could not be opened, so nothing was sent. */
    data object NotSent : CallEnd
}

/**
 * @property gateway index of the gateway, and [life] of its process.
 * @property sentAt nanoseconds.
 */
internal class Call(
    val id: String,
    val path: String,
    val key: String,
    val gateway: Int,
    val life: Int,
    val sentAt: Long,
    val endedAt: Long,
    val end: CallEnd,
)

internal class SoakCallers(private val deployment: Deployment, private val seed: Long, private val callers: Int) {
    val calls: MutableList<Call> = java.util.Collections.synchronizedList(ArrayList())

    @Volatile
    private var stopped = false
    private lateinit var threads: List<Thread>

    fun start() {
        threads =
            List(callers) { n -> thread(isDaemon = true, name = "caller-$n") { run(n, Random(seed * callers + n)) } }
    }

    fun stop() {
        stopped = true
        threads.forEach { it.join(JOIN_MILLIS) }
    }

    private class Open(val socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
    }

    private fun run(caller: Int, random: Random) {
        var open: Open? = null
        var gateway = random.nextInt(deployment.gateways.size)
        var count = 0
        while (!stopped) {
            val path = PATHS[random.nextInt(PATHS.size)]
            val key = if (random.nextInt(REVOKED_PARTS) == 0) Deployment.REVOKED_KEY else Deployment.STEADY_KEY
            val id = "c$caller-${count++}"
            val life = deployment.gateways[gateway].life
            val sentAt = System.nanoTime()
            open = open ?: connect(gateway)
            val end = open?.let { exchange(it, id, path, key) } ?: CallEnd.NotSent
            calls += Call(id, path, key, gateway, life, sentAt, System.nanoTime(), end)
            val goesOn = end is CallEnd.Answer && end.whole && !end.last && random.nextInt(NEW_CONNECTION_PARTS) != 0
            if (!goesOn) {
                open?.socket?.close()
                open = null
                gateway = random.nextInt(deployment.gateways.size)
            }
            Thread.sleep(random.nextLong(MOST_PAUSE_MILLIS))
        }
        open?.socket?.close()
    }

    private fun connect(gateway: Int): Open? = try {
        val socket = Socket()
        socket.connect(InetSocketAddress(deployment.gateways[gateway].host, deployment.callerPort), CONNECT_MILLIS)
        socket.soTimeout = READ_MILLIS
        socket.tcpNoDelay = true
        Open(socket)
    } catch (_: IOException) {
        null // A gateway that is down; the call counts as not sent.
    }

    private fun exchange(on: Open, id: String, path: String, key: String): CallEnd = try {
        on.socket.getOutputStream().write(
            (
                "POST ${path}x HTTP/1.1\r\nHost: ${Deployment.HOST}\r\n${Headers.REQUEST_ID}: $id\r\n" +
                    "${Headers.DEADLINE}: $PATIENCE_MILLIS\r\nAuthorization: ${Headers.AUTH_SCHEME} $key\r\n" +
                    "Content-Length: ${id.length}\r\n\r\n$id"
                ).toByteArray(),
        )
        answer(on.input)
    } catch (_: SocketTimeoutException) {
        CallEnd.Silent
    } catch (_: IOException) {
        CallEnd.Closed
    }

    private fun answer(input: BufferedInputStream): CallEnd {
        val first = input.readHttpLine() ?: return CallEnd.Closed
        val headers = input.readHttpHeaders()
        val status = first.split(' ')[1].toInt()
        val last = headers["connection"] == "close"
        if (headers["transfer-encoding"] == "chunked") return chunked(input, status).copy(last = last)
        val length = headers["content-length"]?.toInt() ?: return CallEnd.Answer(status, "", whole = false)
        val body = input.readNBytes(length)
        return CallEnd.Answer(status, String(body), whole = body.size == length, last = last)
    }

    private fun chunked(input: BufferedInputStream, status: Int): CallEnd.Answer {
        val body = StringBuilder()
        try {
            while (true) {
                val size =
                    input.readHttpLine()?.toIntOrNull(HEX)
                        ?: return CallEnd.Answer(status, body.toString(), whole = false)
                body.append(String(input.readNBytes(size)))
                input.readHttpLine()
                if (size == 0) return CallEnd.Answer(status, body.toString(), whole = true)
            }
        } catch (_: IOException) {
            return CallEnd.Answer(status, body.toString(), whole = false)
        }
    }

    private companion object {
        val PATHS = listOf("/safe/", "/once/", "/stream/", "/added/")
        const val PATIENCE_MILLIS = 4_000L
        const val READ_MILLIS = 6_000
        const val CONNECT_MILLIS = 1_000
        const val MOST_PAUSE_MILLIS = 120L
        const val REVOKED_PARTS = 6
        const val NEW_CONNECTION_PARTS = 10
        const val JOIN_MILLIS = 8_000L
        const val HEX = 16
    }
}
