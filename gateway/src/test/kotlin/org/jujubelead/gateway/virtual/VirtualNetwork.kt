/**
 * Calls between small instances in virtual time.
 *
 * Each instance has one link, on which messages queue in either direction, and one processor, on which the handling of
 * messages queues. Calls within an instance do not use its link.
 */
package org.jujubelead.gateway.virtual

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.CallHandler
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.RpcClients
import org.jujubelead.gateway.net.TextResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @param bitsPerSecond bandwidth of each link, for each direction.
 * @param messageTime processor time for sending or handling one message.
 */
internal class VirtualNetwork(
    private val loop: VirtualEventLoop,
    private val bitsPerSecond: Long,
    private val messageTime: Duration,
) {
    /** A resource that serves one use after the other. */
    private inner class Server {
        private var freeAt = Timestamp.ZERO

        /** Returns the time until a use that takes [time] has ended. */
        fun use(time: Duration): Duration {
            freeAt = maxOf(freeAt, loop.now()) + time
            return freeAt - loop.now()
        }
    }

    inner class Instance(val host: String) {
        private val sending = Server()
        private val receiving = Server()
        private val processor = Server()
        private val services = HashMap<Int, Map<String, CallHandler>>()

        /** Bytes received over the link. */
        var receivedBytes = 0L
            private set

        val clients = RpcClients { endpoint, timeout -> Client(this, endpoint, timeout) }

        /** Serves [calls] by path on [port]. */
        fun serve(port: Int, calls: Map<String, CallHandler>) {
            services[port] = calls
        }

        /** Passes a message of [bytes] to [to] and then runs [then] there. */
        fun send(to: Instance, bytes: Int, then: () -> Unit) {
            loop.after(processor.use(messageTime)) {
                if (to === this) return@after to.handle(then)
                loop.after(sending.use(transmission(bytes)) + PROPAGATION) {
                    loop.after(to.receiving.use(transmission(bytes))) {
                        to.receivedBytes += bytes
                        to.handle(then)
                    }
                }
            }
        }

        private fun handle(then: () -> Unit) {
            loop.after(processor.use(messageTime), then)
        }

        fun call(port: Int, path: String, body: String, answer: (TextResponse) -> Unit) {
            val handler = services[port]?.get(path)
            if (handler == null) answer(TextResponse(NOT_FOUND, "")) else handler(body, answer)
        }
    }

    private val instances = HashMap<String, Instance>()

    fun instance(host: String): Instance = instances.getOrPut(host) { Instance(host) }

    private fun transmission(bytes: Int) = 1.seconds * (bytes * BITS_PER_BYTE / bitsPerSecond.toDouble())

    private inner class Client(
        private val from: Instance,
        override val endpoint: Endpoint,
        private val timeout: Duration,
    ) : RpcClient {
        override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit) =
            call(path, "", timeout, done)

        override fun post(
            path: String,
            body: String,
            timeout: Duration?,
            done: (Result<TextResponse, CallFailure>) -> Unit,
        ) = call(path, body, timeout ?: this.timeout, done)

        private fun call(
            path: String,
            body: String,
            timeout: Duration,
            done: (Result<TextResponse, CallFailure>) -> Unit,
        ) {
            val to = instance(endpoint.host)
            var ended = false
            val end = { result: Result<TextResponse, CallFailure> ->
                if (!ended) {
                    ended = true
                    done(result)
                }
            }
            loop.after(timeout) { end(Err(CallFailure("no response before the deadline"))) }
            from.send(to, HEAD_BYTES + body.length) {
                to.call(endpoint.port, path, body) { answer ->
                    to.send(from, HEAD_BYTES + answer.body.length) { end(Ok(answer)) }
                }
            }
        }

        override fun close() = Unit
    }

    private companion object {
        const val BITS_PER_BYTE = 8
        const val NOT_FOUND = 404

        /** Heads of HTTP, TCP and IP of a message, and its acknowledgement. */
        const val HEAD_BYTES = 240
        val PROPAGATION = 500.microseconds
    }
}
