/**
 * Kept connections to one endpoint.
 *
 * The connection used last is reused first, so that the rest can age and close. A connection that has been idle for
 * most of the time after which the peer closes it is not reused: a request that crosses the close might be lost.
 * Everything happens on one event loop.
 */
package org.jujubelead.gateway.net

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import org.jujubelead.core.replica.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** @param connectTimeout after which a connection attempt is given up. */
public class ConnectionPool(
    public val endpoint: Endpoint,
    private val loop: EventLoop,
    private val connectTimeout: Duration,
) {
    private val idle = ArrayDeque<HttpConnection>()
    private var closed = false

    /** Connections opened so far. */
    public var opened: Long = 0
        private set

    /**
     * Passes a kept connection to [onConnection], or else a new one; null when none could be opened. [maxIdle] is the longest
     * idle time of a kept connection that is acceptable.
     */
    public fun acquire(maxIdle: Duration, onConnection: (HttpConnection?) -> Unit) {
        val now = ProcessClock.now()
        while (idle.isNotEmpty()) {
            val c = idle.removeLast()
            val limit =
                c.peerIdleTimeout?.let { minOf(maxIdle, it * PEER_TIMEOUT_FRACTION - MAX_ROUND_TRIP) } ?: maxIdle
            if (c.open && now - c.idleSince < limit) return onConnection(c)
            c.close()
        }
        connect(onConnection)
    }

    /** Closes connections that have been idle for [limit]. */
    public fun closeIdle(limit: Duration) {
        val now = ProcessClock.now()
        idle.removeAll { c ->
            val expired = !c.open || now - c.idleSince > limit
            if (expired) c.close()
            expired
        }
    }

    /** Closes the idle connections, and the others after their request. */
    public fun close() {
        closed = true
        idle.forEach { it.close() }
        idle.clear()
    }

    private fun connect(onConnection: (HttpConnection?) -> Unit) {
        opened++
        var connection: HttpConnection? = null
        Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) {
                    val c = HttpConnection(ch, ::returnToPool)
                    connection = c
                    ch.pipeline().addLast(HttpClientCodec(), c)
                }
            })
            .connect(endpoint.host, endpoint.port)
            .addListener { done -> onConnection(if (done.isSuccess) connection else null) }
    }

    /** Takes back a connection on which nothing was sent. */
    public fun release(connection: HttpConnection): Unit = returnToPool(connection)

    private fun returnToPool(connection: HttpConnection) {
        if (closed) connection.close() else idle.addLast(connection)
    }

    private companion object {
        /** The peer measures from its own end, and its clock ticks in whole seconds. */
        const val PEER_TIMEOUT_FRACTION = 0.8

        /** More than any round trip within a deployment. */
        val MAX_ROUND_TRIP: Duration = 50.milliseconds
    }
}
