/** An HTTP server on loopback that serves one or more stand-ins. */
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

/** Routes of one stand-in. */
public fun interface HttpModule {
    public fun install(route: Route)
}

private const val MAX_BODY_BYTES = 64_000_000L
private const val STOP_GRACE_MS = 50L
private const val STOP_LIMIT_MS = 500L

/** JSON of the stand-ins' own interfaces. */
internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** The server; it listens when the constructor returns. Port 0 takes a free one. */
public class StandInServer(port: Int = 0, modules: List<HttpModule>) : AutoCloseable {
    private val closed = CountDownLatch(1)
    private val server = embeddedServer(CIO, port = port, host = "127.0.0.1") {
        routing { modules.forEach { it.install(this) } }
    }.start(wait = false)

    /** The port in use. */
    public val port: Int = runBlocking { server.engine.resolvedConnectors().first().port }

    /** Base address for the adapters. */
    public val baseUrl: String get() = "http://127.0.0.1:$port"

    /** Blocks until [close]. */
    public fun waitUntilClosed(): Unit = closed.await()

    override fun close() {
        server.stop(STOP_GRACE_MS, STOP_LIMIT_MS)
        closed.countDown()
    }
}

/** Answers that break off: the connection is closed before the announced length. */
internal class CutContent(private val sent: ByteArray = ByteArray(0)) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long get() = sent.size + 1L

    override suspend fun writeTo(channel: ByteWriteChannel) {
        channel.writeFully(sent)
        channel.flush()
        throw IOException("injected: the answer is cut")
    }
}

internal fun ApplicationCall.parameter(name: String): String? = request.queryParameters[name]

internal fun ApplicationCall.required(name: String): String =
    parameter(name) ?: throw BadRequestException("the parameter \"$name\" is missing")

internal suspend fun ApplicationCall.bodyBytes(): ByteArray =
    receiveChannel().readRemaining(MAX_BODY_BYTES).readByteArray()

internal suspend inline fun <reified T> ApplicationCall.bodyJson(): T =
    wireJson.decodeFromString(serializer<T>(), bodyBytes().decodeToString())

internal suspend inline fun <reified T> ApplicationCall.respondJson(value: T): Unit =
    respondText(wireJson.encodeToString(serializer<T>(), value), ContentType.Application.Json)

/** `GET` and `PUT` of one control record at [path]. */
internal inline fun <reified T> Route.control(
    path: String,
    crossinline read: () -> T,
    crossinline write: (T) -> Unit,
) {
    get(path) { call.respondJson(read()) }
    put(path) {
        write(call.bodyJson())
        done()
    }
}

internal suspend fun RoutingContext.done(): Unit = call.respond(HttpStatusCode.NoContent)
