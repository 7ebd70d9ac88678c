/** Creates the channel handlers of a caller's connection. */
package org.jujubelead.gateway.caller

import io.netty.channel.ChannelHandler
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

internal fun callerPipeline(dataPlane: DataPlane): List<ChannelHandler> {
    val connection = CallerConnection(dataPlane) { c, request -> Exchange(dataPlane, c, request).also { it.start() } }
    return listOf(StrictRequestDecoder(dataPlane.callerLimits.maxHeaderBytes), ResponseEncoder(connection), connection)
}

/** Encoder that sends no byte after the head in the response to a HEAD request, not even the end of a chunked body. */
private class ResponseEncoder(private val connection: CallerConnection) : HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        connection.respondsToHead || super.isContentAlwaysEmpty(response)
}
