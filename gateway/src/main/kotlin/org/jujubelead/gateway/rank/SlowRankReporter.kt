/**
 * Reports the slow ranks of a group to all gateways while this process is its coordinator.
 *
 * Nothing is sent while no rank is slow. Runs on the agent's event loop.
 */
package org.jujubelead.gateway.rank

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.peers.GatewayListPoller
import org.jujubelead.gateway.peers.Peer
import org.jujubelead.gateway.peers.SlowRankReport
import org.jujubelead.gateway.store.StoreClient
import java.net.InetSocketAddress

/** Receives the slow ranks of a group. */
internal interface SlowRankReports {
    /** Reports the relative step times of the slow ranks, by the address of their replica. */
    fun report(paces: Map<Endpoint, Double>)

    fun close()
}

/** @param host own address, from which reports are sent. */
internal class SlowRankReporter(
    host: String,
    service: ServiceId,
    group: GroupId,
    private val term: Long,
    store: StoreClient,
    loop: EventLoop,
) : SlowRankReports {
    private val channel: Channel = Bootstrap().group(loop).channel(NioDatagramChannel::class.java)
        .handler(object : ChannelInboundHandlerAdapter() {
            override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
                // A datagram to a terminated gateway causes an ICMP error. The gateway list will drop that gateway.
            }
        })
        .bind(host, 0).channel()
    private val groupHash = SlowRankReport.hashOf(service, group)
    private var gateways: List<Peer> = emptyList()
    private val list = GatewayListPoller(store, loop) { gateways = it }.apply { start() }
    private var sequence = 0
    private var last: Map<Endpoint, Double> = emptyMap()
    private var repeats = 0

    override fun report(paces: Map<Endpoint, Double>) {
        if (paces != last) repeats = RECOVERY_REPEATS
        last = paces
        if (paces.isEmpty() && repeats-- <= 0) return
        val report = SlowRankReport(
            group = groupHash,
            term = term,
            sequence = ++sequence,
            paces = paces.mapKeys { SlowRankReport.hash(it.key) },
        )
        for (g in gateways) {
            channel.write(DatagramPacket(report.encode(), InetSocketAddress(g.endpoint.host, g.endpoint.port)))
        }
        channel.flush()
    }

    override fun close() {
        list.stop()
        channel.close()
    }

    private companion object {
        /** The report that no rank is slow any more is repeated, as datagrams can be lost. */
        const val RECOVERY_REPEATS = 4
    }
}
