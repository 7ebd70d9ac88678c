package org.jujubelead.gateway.store

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.StoreEra
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.wire.Headers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration

class StoreClientTest {
    /** Calls that are answered in the order in which the test says so. */
    private val waiting = ArrayDeque<(Result<TextResponse, CallFailure>) -> Unit>()
    private val calls = object : RpcClient {
        override val endpoint = Endpoint("store", 1)

        override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit) = waiting.addLast(done)

        override fun post(
            path: String,
            body: String,
            timeout: Duration?,
            done: (Result<TextResponse, CallFailure>) -> Unit,
        ) = waiting.addLast(done)

        override fun close() = waiting.clear()
    }
    private val client = StoreClient(calls, EventLog())
    private val results = ArrayList<Result<StoreAnswer, CallFailure>>()

    private fun answer(era: String?, call: Int = 0) {
        val headers = DefaultHttpHeaders()
        if (era != null) headers[Headers.STORE_ERA] = era
        waiting.removeAt(call)(Ok(TextResponse(200, "{}", headers)))
    }

    /** Guards against an answer on another connection that undoes what is known of a later era. */
    @Test
    fun `an answer of an earlier era that arrives late is no answer`() {
        repeat(3) { client.get("/kv-key?key=k") { results += it } }
        answer("1")
        answer("2", call = 1)
        answer("1")
        expectThat(results.map { it.get()?.era?.value }).isEqualTo(listOf(1L, 2L, null))
        expectThat(client.era).isEqualTo(StoreEra(2))
    }

    /** Guards against an answer whose era is guessed. */
    @Test
    fun `an unreadable era is no answer, and a store without eras is in era 0`() {
        repeat(2) { client.get("/kv-key?key=k") { results += it } }
        answer("two")
        answer(null)
        expectThat(results[0].getError()).isNotNull()
        expectThat(results[1].get()?.era).isEqualTo(StoreEra(0))
    }

    /** Guards against a part of the system that acts on an answer of a new era with what it knew of the one before. */
    @Test
    fun `listeners hear of a new era before the answer is passed on, and not of the first one`() {
        var heard: StoreEra? = null
        client.onNewEra { heard = it }
        client.get("/kv-key?key=k") { expectThat(heard).isNull() }
        answer("1")
        client.get("/kv-key?key=k") {
            results += it
            expectThat(heard).isEqualTo(StoreEra(2))
        }
        answer("2")
        expectThat(results.size).isEqualTo(1)
    }
}
