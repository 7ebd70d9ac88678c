/**
 * The store in virtual time, behind a network that delays calls and answers.
 *
 * Copies are taken all the time, and the store can come back from one. A write that is slow on its way is executed when
 * it arrives, in whatever era that is.
 */
package org.jujubelead.gateway.virtual

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.platform.standins.StoreContents
import org.jujubelead.platform.wire.Headers
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** @property slowShare share of the calls and of the answers that take up to [MAX_SLOW_TIME]. */
internal class VirtualStore(
    private val loop: VirtualEventLoop,
    private val random: Random,
    var slowShare: Double,
) {
    private val copies = ArrayDeque<StoreContents.Copy>()
    val contents = StoreContents { loop.now().micros * NANOS_PER_MICRO }

    /** False while the store does not answer. */
    var up = true
        private set

    /** Takes a copy every [COPY_INTERVAL] from now on. */
    fun start() {
        if (up) copies.addLast(contents.copy())
        if (copies.size > MAX_COPIES) copies.removeFirst()
        loop.after(COPY_INTERVAL, ::start)
    }

    fun stop() {
        up = false
    }

    /** Answers again, with the contents that it had [age] before it stopped. */
    fun returnFromCopy(age: Duration) {
        contents.returnTo(copies[(copies.size - 1 - (age / COPY_INTERVAL).toInt()).coerceAtLeast(0)])
        copies.clear()
        up = true
    }

    /** Client of one process. Nothing reaches the process once it has ended. */
    inner class Client(private val timeout: Duration) : RpcClient {
        var ended = false

        override val endpoint: Endpoint = Endpoint("store", 1)

        override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit) = call(path, "", done)

        override fun post(
            path: String,
            body: String,
            timeout: Duration?,
            done: (Result<TextResponse, CallFailure>) -> Unit,
        ) = call(path, body, done)

        override fun close() {
            ended = true
        }

        private fun call(path: String, body: String, done: (Result<TextResponse, CallFailure>) -> Unit) {
            var answered = false
            val end = { result: Result<TextResponse, CallFailure> ->
                if (!answered && !ended) done(result)
                answered = true
            }
            loop.after(timeout) { end(Err(CallFailure("no response before the deadline"))) }
            loop.after(delay()) {
                if (!up) return@after
                val response = contents.call(path, body)
                val headers = DefaultHttpHeaders().set(Headers.STORE_ERA, response.era.toString())
                loop.after(delay()) { end(Ok(TextResponse(response.status, response.body, headers))) }
            }
        }

        private fun delay(): Duration =
            if (random.nextDouble() < slowShare) MAX_SLOW_TIME * random.nextDouble() else DELAY
    }

    private companion object {
        val DELAY = 2.milliseconds
        val MAX_SLOW_TIME = 3_000.milliseconds
        val COPY_INTERVAL = 250.milliseconds
        const val MAX_COPIES = 60
        const val NANOS_PER_MICRO = 1_000
    }
}
