/** Blocking calls of control interfaces, health and metrics. */
package org.jujubelead.bench.prove

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.time.Duration

private const val CALL_TIMEOUT_MS = 2_000L

/** Answer of a call; status 0 when none came. */
internal class HttpAnswer(val status: Int, val body: String)

internal object Http {
    const val OK = 200

    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(CALL_TIMEOUT_MS)).build()

    fun get(url: String): HttpAnswer = send(HttpRequest.newBuilder(URI(url)).GET())

    fun post(url: String): HttpAnswer = send(HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.noBody()))

    fun put(url: String, body: String): HttpAnswer =
        send(HttpRequest.newBuilder(URI(url)).PUT(HttpRequest.BodyPublishers.ofString(body)))

    private fun send(request: HttpRequest.Builder): HttpAnswer = try {
        val answer = client.send(
            request.timeout(Duration.ofMillis(CALL_TIMEOUT_MS)).build(),
            HttpResponse.BodyHandlers.ofString(),
        )
        HttpAnswer(answer.statusCode(), answer.body())
    } catch (_: IOException) {
        HttpAnswer(0, "")
    }
}

internal fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
