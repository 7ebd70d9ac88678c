/** The handlers of one caller's connection. */
package org.jujubelead.gateway.caller

import io.netty.channel.ChannelHandler
import io.netty.handler.codec.http.HttpResponseEncoder

internal fun callerPipeline(traffic: Traffic): List<ChannelHandler> {
    val connection = CallerConnection(traffic) { c, request -> Exchange(traffic, c, request).also { it.start() } }
    return listOf(CallerDecoder(traffic.limits.maxHeaderBytes), HttpResponseEncoder(), connection)
}
