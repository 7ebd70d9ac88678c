/**
 * Tells all gateways which ranks of the group are slow, while this process coordinates the group.
 *
 * Nothing is sent while all ranks are sound. Runs on the control thread.
 */
package org.jujubelead.gateway.rank

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.peers.GatewayListPoller
import org.jujubelead.gateway.peers.SlowRankReport
import org.jujubelead.gateway.peers.Peer
import java.net.InetSocketAddress

/** @param host own address, from which reports are sent. */
internal class SlowRankReporter(
    host: String,
    private val service: ServiceId,
    private val term: Long,
    store: HttpClient,
    loop: EventLoop,
) {
    private val channel: Channel = Bootstrap().group(loop).channel(NioDatagramChannel::class.java)
        .handler(object : ChannelInboundHandlerAdapter() {
            override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
                // A datagram to a gateway that is gone comes back as an error; the list will drop it.
            }
        })
        .bind(host, 0).channel()
    private var gateways: List<Peer> = emptyList()
    private val list = GatewayListPoller(store, loop) { gateways = it }.apply { start() }
    private var sequence = 0
    private var last: Map<Endpoint, Double> = emptyMap()
    private var repeats = 0

    /** Reports the paces of the slow ranks, by the address of their replica. */
    fun report(paces: Map<Endpoint, Double>) {
        if (paces != last) repeats = RECOVERY_REPEATS
        last = paces
        if (paces.isEmpty() && repeats-- <= 0) return
        val report = SlowRankReport(
            service = service.hashCode(),
            term = term,
            sequence = ++sequence,
            paces = paces.mapKeys { SlowRankReport.hash(it.key) },
        )
        for (g in gateways) {
            channel.write(DatagramPacket(report.encode(), InetSocketAddress(g.endpoint.host, g.endpoint.port)))
        }
        channel.flush()
    }

    fun close() {
        list.stop()
        channel.close()
    }

    private companion object {
        /** A report that all ranks are sound again is repeated, as datagrams can be lost. */
        const val RECOVERY_REPEATS = 4
    }
}
