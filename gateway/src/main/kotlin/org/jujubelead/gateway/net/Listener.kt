/** Binds server sockets. */
package org.jujubelead.gateway.net

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.jujubelead.core.replica.Endpoint

/** Backlog of connections to accept; a full backlog delays a caller by seconds. */
private const val ACCEPT_QUEUE = 1024

/** Binds [endpoint] and serves each connection with the handlers of [pipeline]. */
public fun listen(endpoint: Endpoint, group: EventLoopGroup, pipeline: () -> List<ChannelHandler>): Channel =
    ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, TurnLimits.readBuffers)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(ch: Channel) {
                ch.pipeline().addLast(*pipeline().toTypedArray())
            }
        })
        .bind(endpoint.host, endpoint.port).sync().channel()
