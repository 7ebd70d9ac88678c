/** Listens for callers. */
package org.jujubelead.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import org.jujubelead.core.replica.Endpoint

/** Connections that may wait to be accepted; a full queue costs a caller seconds. */
private const val ACCEPT_QUEUE = 1024

/** Opens [endpoint] and serves each connection with [pipeline]. */
internal fun listen(endpoint: Endpoint, group: EventLoopGroup, pipeline: (Channel) -> List<ChannelHandler>): Channel =
    ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(ch: Channel) {
                ch.pipeline().addLast(*pipeline(ch).toTypedArray())
            }
        })
        .bind(endpoint.host, endpoint.port).sync().channel()

/** The handlers of one caller's connection. */
internal fun callerPipeline(traffic: Traffic): List<ChannelHandler> {
    val connection = CallerConnection(traffic) { c, request -> Exchange(traffic, c, request).also { it.start() } }
    return listOf(CallerDecoder(traffic.limits.mostHeaderBytes), HttpResponseEncoder(), connection)
}
