/** Creates the channel handlers of a caller's connection. */
package org.jujubelead.gateway.caller

import io.netty.channel.ChannelHandler
import io.netty.handler.codec.http.HttpResponseEncoder

internal fun callerPipeline(dataPlane: DataPlane): List<ChannelHandler> {
    val connection = CallerConnection(dataPlane) { c, request -> Exchange(dataPlane, c, request).also { it.start() } }
    return listOf(StrictRequestDecoder(dataPlane.callerLimits.maxHeaderBytes), HttpResponseEncoder(), connection)
}
