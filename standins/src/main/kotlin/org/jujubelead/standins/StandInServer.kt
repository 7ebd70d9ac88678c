/** HTTP server on the loopback address that hosts one or more simulated services. */
package org.jujubelead.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import java.io.IOException
import java.util.concurrent.CountDownLatch

/** Routes of one simulated service. */
public fun interface HttpModule {
    public fun install(route: Route)
}

private const val MAX_BODY_BYTES = 64_000_000L
private const val STOP_GRACE_MS = 50L
private const val STOP_LIMIT_MS = 500L

/** JSON format of all interfaces of this module. */
internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** The server. It accepts connections once the constructor returns; port 0 selects a free port. */
public class StandInServer(port: Int = 0, modules: List<HttpModule>) : AutoCloseable {
    private val closed = CountDownLatch(1)
    private val server = embeddedServer(CIO, port = port, host = "127.0.0.1") {
        routing { modules.forEach { it.install(this) } }
    }.start(wait = false)

    /** The port that the server listens on. */
    public val port: Int = runBlocking { server.engine.resolvedConnectors().first().port }

    /** Base URL for clients. */
    public val baseUrl: String get() = "http://127.0.0.1:$port"

    /** Blocks until [close]. */
    public fun waitUntilClosed(): Unit = closed.await()

    override fun close() {
        server.stop(STOP_GRACE_MS, STOP_LIMIT_MS)
        closed.countDown()
    }
}

/** A truncated response: the connection is closed before the declared content length is sent. */
internal class TruncatedContent(private val sent: ByteArray = ByteArray(0)) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long get() = sent.size + 1L

    override suspend fun writeTo(channel: ByteWriteChannel) {
        channel.writeFully(sent)
        channel.flush()
        throw IOException("injected: the response is truncated")
    }
}

internal fun ApplicationCall.parameter(name: String): String? = request.queryParameters[name]

internal fun ApplicationCall.required(name: String): String =
    parameter(name) ?: throw BadRequestException("missing query parameter \"$name\"")

internal suspend fun ApplicationCall.bodyBytes(): ByteArray =
    receiveChannel().readRemaining(MAX_BODY_BYTES).readByteArray()

internal suspend inline fun <reified T> ApplicationCall.bodyJson(): T =
    wireJson.decodeFromString(serializer<T>(), bodyBytes().decodeToString())

internal suspend inline fun <reified T> ApplicationCall.respondJson(value: T): Unit =
    respondText(wireJson.encodeToString(serializer<T>(), value), ContentType.Application.Json)

/** Installs `GET` and `PUT` of one control record at [path]. */
internal inline fun <reified T> Route.control(
    path: String,
    crossinline read: () -> T,
    crossinline write: (T) -> Unit,
) {
    get(path) { call.respondJson(read()) }
    put(path) {
        write(call.bodyJson())
        respondNoContent()
    }
}

internal suspend fun RoutingContext.respondNoContent(): Unit = call.respond(HttpStatusCode.NoContent)
