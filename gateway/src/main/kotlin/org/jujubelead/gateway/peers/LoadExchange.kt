/**
 * Exchanges the numbers of in-flight requests per replica with the other gateways.
 *
 * Without it, each gateway would fill the slots of a replica on its own. The excess would wait in the replica's own
 * queue, where requests can be neither reordered nor refused. Gateways of the same zone are updated often, as they
 * share the same replicas; others rarely, as traffic between zones has a cost. Reports of a silent gateway expire. Runs
 * on the data plane's event loop.
 */
package org.jujubelead.gateway.peers

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.quarantine.EvidenceReports
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.jujubelead.gateway.telemetry.DefectReporter
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * @param loads in-flight requests of this gateway, by hash of the replica.
 * @param onPeerLoads receives the sum of the loads of all other gateways, by hash of the replica.
 * @param slowRanks receives the reports of group coordinators, which arrive at the same port.
 * @param limits exchanges the request limits of replicas in datagrams of its own.
 * @param evidence exchanges the evidence against prompt parts in datagrams of its own.
 */
internal class LoadExchange(
    private val zone: ZoneId,
    private val loads: () -> Map<Int, Int>,
    private val onPeerLoads: (Map<Int, Int>) -> Unit,
    private val slowRanks: SlowRankTracker,
    private val evidence: EvidenceReports,
    private val limits: LimitExchange,
) {
    private class Received(val report: LoadReport, val at: Timestamp)

    private val sender = Random.nextLong()
    private val received = HashMap<Long, Received>()
    private lateinit var channel: Channel
    private var sequence = 0
    private var lastSent: Map<Int, Int> = emptyMap()
    private var ticks = 0

    /** The other gateways. */
    var peers: List<Peer> = emptyList()

    fun start(own: Endpoint, group: NioEventLoopGroup) {
        channel = Bootstrap().group(group).channel(NioDatagramChannel::class.java)
            .handler(object : SimpleChannelInboundHandler<DatagramPacket>() {
                override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
                    val bytes = packet.content()
                    if (!bytes.isReadable) return
                    when (bytes.getByte(bytes.readerIndex()).toInt()) {
                        SlowRankReport.FORMAT ->
                            SlowRankReport.decode(bytes)?.let { slowRanks.onReport(it, ProcessClock.now()) }

                        LimitReport.FORMAT -> LimitReport.decode(bytes)?.let(limits::onReport)

                        EvidenceReports.FORMAT -> evidence.onDatagram(bytes)

                        else -> LoadReport.decode(bytes)?.let(::received)
                    }
                }

                override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
                    // A datagram to a terminated gateway causes an ICMP error. The peer directory will drop that
                    // gateway.
                    if (cause !is IOException) DefectReporter.report("load report", cause)
                }
            })
            .bind(own.host, own.port).sync().channel()
        channel.eventLoop().scheduleRepeating(TICK_MILLIS, "load reports", ::tick)
    }

    private fun received(report: LoadReport) {
        val last = received[report.sender]
        if (last != null && report.sequence <= last.report.sequence) return
        received[report.sender] = Received(report, ProcessClock.now())
        notifyPeerLoads()
    }

    private fun notifyPeerLoads() {
        val sum = HashMap<Int, Int>()
        for (r in received.values) for ((hash, count) in r.report.loads) sum.merge(hash, count, Int::plus)
        onPeerLoads(sum)
    }

    private fun tick() {
        val now = ProcessClock.now()
        slowRanks.expire(now)
        if (received.values.removeIf { now - it.at > EXPIRY }) notifyPeerLoads()
        val current = loads()
        val fullReport = ticks++ % TICKS_PER_FULL_REPORT == 0
        evidence.next(fullReport)?.let(::sendToAll)
        limits.next(sender, fullReport)?.let { sendToAll(it.encode()) }
        if (current == lastSent && !fullReport) return
        lastSent = current
        val report = LoadReport(sender, ++sequence, current)
        for (p in peers) {
            if (p.zone != zone && !fullReport) continue
            send(report.encode(), p)
        }
        channel.flush()
    }

    private fun sendToAll(datagram: ByteBuf) {
        for (p in peers) send(datagram.retainedDuplicate(), p)
        datagram.release()
        channel.flush()
    }

    private fun send(datagram: ByteBuf, to: Peer) {
        channel.write(DatagramPacket(datagram, InetSocketAddress(to.endpoint.host, to.endpoint.port)))
    }

    private companion object {
        /** Several reports per request that one gateway places on one replica. */
        const val TICK_MILLIS = 60L

        /** Interval, in ticks, of reports to all zones, which are also sent when loads are unchanged. */
        const val TICKS_PER_FULL_REPORT = 5

        /** Tolerates the loss of some of the reports to other zones before a gateway is considered gone. */
        val EXPIRY: Duration = 1_500.milliseconds
    }
}
