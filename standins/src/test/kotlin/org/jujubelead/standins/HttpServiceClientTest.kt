package org.jujubelead.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.jujubelead.platform.HeaderLine
import org.jujubelead.platform.HttpServiceClient
import org.jujubelead.platform.ServiceError
import org.jujubelead.platform.ServiceRequest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds

class HttpServiceClientTest {
    private val server = StandInServer(modules = listOf(ServiceHttp("booking")))
    private val service = HttpServiceClient(server.baseUrl, timeout = 500.milliseconds, maxResponseBytes = 10_000)

    @AfterEach
    fun stop() {
        service.close()
        server.close()
    }

    private fun call(method: String = "POST", path: String = "/orders?x=1", body: String = "hello") = ServiceRequest(
        method = method,
        path = path,
        headers = listOf(
            HeaderLine("X-Request-Id", "r1"),
            HeaderLine("Content-Type", "text/plain"),
            HeaderLine("Connection", "close"),
            HeaderLine("Content-Length", "999"),
        ),
        body = body.encodeToByteArray(),
    )

    private suspend fun executions() = wireJson.decodeFromString<List<ExecutionBody>>(
        service.call(call("GET", "/_executions", "")).get()!!.body.decodeToString(),
    )

    /** Guards against a request that is executed twice, or with a different path, body or request id. */
    @Test
    fun `a request is executed once and unchanged`() = runBlocking<Unit> {
        val reply = service.call(call()).get()
        expectThat(reply).isNotNull().get { body.decodeToString() }.contains("hello")
        expectThat(executions()).hasSize(1).get { single() }.and {
            get { path }.isEqualTo("/orders?x=1")
            get { body }.isEqualTo("hello")
            get { requestId }.isEqualTo("r1")
        }
    }

    /** Guards against a lost response that is reported as not executed, and against retries by the HTTP library. */
    @Test
    fun `a truncated or missing response is an error after one execution`() = runBlocking<Unit> {
        listOf("cutAfterRunning", "hangs").forEachIndexed { i, fault ->
            server.control("service", """{"$fault":1.0}""")
            expectThat(service.call(call()).getError()).isA<ServiceError.NoResponse>()
            expectThat(executions()).hasSize(i + 1)
        }
    }

    /** Guards against a response of unlimited size. */
    @Test
    fun `an oversized response is an error`() = runBlocking<Unit> {
        expectThat(service.call(call(body = "x".repeat(20_000))).getError()).isA<ServiceError.NoResponse>()
    }

    /** Guards against a refused connection that is reported as a possible execution. */
    @Test
    fun `a refused connection is unreachable`() = runBlocking<Unit> {
        server.close()
        expectThat(service.call(call()).getError()).isA<ServiceError.Unreachable>()
    }
}
