/**
 * Pool of idle connections to one endpoint.
 *
 * The most recently used connection is reused first, so that surplus connections age and are closed. A connection that
 * has been idle for most of the peer's idle timeout is not reused: a request sent while the peer closes it could be
 * lost. Runs on one event loop.
 */
package org.jujubelead.gateway.net

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import org.jujubelead.core.replica.Endpoint
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** @param connectTimeout timeout of a connection attempt. */
public class ConnectionPool(
    public val endpoint: Endpoint,
    private val loop: EventLoop,
    private val connectTimeout: Duration,
) {
    private val idle = ArrayDeque<HttpConnection>()
    private var closed = false

    /** Number of connections opened so far. */
    public var opened: Long = 0
        private set

    /**
     * Passes an idle connection or else a new one to [onConnection]; null if none could be opened. [maxIdle] is the
     * maximum idle time of a reused connection.
     */
    public fun acquire(maxIdle: Duration, onConnection: (HttpConnection?) -> Unit) {
        val now = ProcessClock.now()
        while (idle.isNotEmpty()) {
            val c = idle.removeLast()
            val limit =
                c.peerIdleTimeout?.let { minOf(maxIdle, it * PEER_TIMEOUT_FRACTION - MAX_ROUND_TRIP) } ?: maxIdle
            if (now - c.idleSince < limit && c.prepareToSend()) return onConnection(c)
            c.close()
        }
        connect { connection, _ -> onConnection(connection?.takeIf { it.prepareToSend() }) }
    }

    /** Closes connections that have been idle for longer than [limit]. */
    public fun closeIdle(limit: Duration) {
        val now = ProcessClock.now()
        idle.removeAll { c ->
            val expired = !c.open || now - c.idleSince > limit
            if (expired) c.close()
            expired
        }
    }

    /** Closes idle connections now, and the others after their request. */
    public fun close() {
        closed = true
        idle.forEach { it.close() }
        idle.clear()
    }

    /** Opens a connection, which is then idle; passes to [done] whether the endpoint refused it. */
    public fun testConnection(done: (refused: Boolean) -> Unit): Unit = connect { connection, cause ->
        connection?.let(::returnToPool)
        done(cause is ConnectException && cause !is ConnectTimeoutException)
    }

    private fun connect(onResult: (HttpConnection?, cause: Throwable?) -> Unit) {
        opened++
        var connection: HttpConnection? = null
        Bootstrap().group(loop).channel(PollableSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RCVBUF_ALLOCATOR, TurnLimits.readBuffers)
            // Tells the orderly end of a connection from a reset.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<PollableSocketChannel>() {
                override fun initChannel(ch: PollableSocketChannel) {
                    val c = HttpConnection(endpoint, ch, ::returnToPool)
                    connection = c
                    ch.pipeline().addLast(*c.handlers().toTypedArray())
                }
            })
            .connect(endpoint.host, endpoint.port)
            .addListener { done -> onResult(if (done.isSuccess) connection else null, done.cause()) }
    }

    /** Returns a connection on which nothing was sent. */
    public fun release(connection: HttpConnection): Unit = returnToPool(connection)

    private fun returnToPool(connection: HttpConnection) {
        if (closed) connection.close() else idle.addLast(connection)
    }

    private companion object {
        /** Margin for the peer's clock, which starts at a different time and may have a resolution of whole seconds. */
        const val PEER_TIMEOUT_FRACTION = 0.8

        /** Upper bound of a round trip within a deployment. */
        val MAX_ROUND_TRIP: Duration = 50.milliseconds
    }
}
