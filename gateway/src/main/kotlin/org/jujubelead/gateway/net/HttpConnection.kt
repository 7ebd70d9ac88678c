/**
 * An outgoing HTTP/1.1 connection with at most one request in flight.
 *
 * Failures are classified by whether the request can have been executed: nothing was written, it was written without a
 * response, or the response was cut off. Bytes that arrive while no request is in flight never reach the decoder, and
 * close the connection, as do bytes behind a response. Runs on the event loop of the connection.
 */
package org.jujubelead.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.telemetry.DefectReporter
import org.jujubelead.gateway.telemetry.StrayBytesReporter
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why a request has no complete response. */
public enum class TransportFailure {
    /** The request was not written, so it was not executed. */
    NOT_WRITTEN,

    /** The connection ended before the response started. */
    NO_ANSWER,

    /** The connection ended within the response. */
    CUT,

    /** The peer sent bytes that are not a valid HTTP response. */
    MALFORMED,
}

/** Handles the response to one request. Buffers are valid only during the call. */
public interface ResponseHandler {
    /** Id of the request, which its response echoes; null if there is none. */
    public val id: String? get() = null

    /** Returns the id that [response] echoes, if a late response to an earlier request is to be skipped. */
    public fun idToSkip(response: HttpResponse): String? = null

    /** Header of final responses only; null if there is none. */
    public val finalHeader: String? get() = null

    public fun onHead(response: HttpResponse)

    public fun onContent(bytes: ByteBuf)

    /** Called after all parts of the response that have arrived together, unless one of them has ended it. */
    public fun onReadComplete(): Unit = Unit

    public fun onComplete()

    public fun onTransportFailure(reason: TransportFailure)
}

public class HttpConnection internal constructor(
    private val peer: Endpoint,
    private val channel: PollableSocketChannel,
    private val onIdle: (HttpConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val decoder = ResponseDecoder()
    private var receiver: ResponseHandler? = null
    private var responseStarted = false
    private var requestWritten = false
    private var keepAlive = true

    /** True if only the end of the connection ends the current response. */
    private var unframed = false

    /** True once the peer has closed its side in an orderly way. */
    private var inputEnded = false
    private var interimResponses = 0

    /** Ids of the latest requests before the current one. */
    private val earlierIds = ArrayDeque<String>()

    /** Number of second copies of earlier responses that were dropped before the response to the current request. */
    private var skippedCopies = 0

    /** Number of requests sent on this connection. */
    public var requests: Int = 0
        private set

    /** When the connection last became idle. */
    public var idleSince: Timestamp = ProcessClock.now()
        private set

    /** Idle timeout announced by the peer; null if there is none. */
    public var peerIdleTimeout: Duration? = null
        private set

    public val open: Boolean get() = channel.isActive

    /** Local port; identifies the connection in logs. */
    public var localPort: Int? = null
        private set

    /** Handlers of the channel in the order in which they receive bytes. */
    internal fun handlers(): List<ChannelHandler> = listOf(IdleInput(), decoder, RequestEncoder(), this)

    /**
     * Returns whether a request can be sent now. Closes the connection otherwise: its peer has closed it, or has sent
     * bytes that would be read as the beginning of the next response.
     */
    internal fun prepareToSend(): Boolean {
        if (!channel.isActive) return false
        val unread = ByteBuffer.allocate(StrayBytes.MAX_TEXT_BYTES)
        val count = channel.poll(unread)
        if (count > 0) reportStray(StrayArrival.BEFORE_REQUEST, Unpooled.wrappedBuffer(unread.flip()))
        if (count != 0) channel.close()
        return count == 0
    }

    /** Sends [request] and passes its response to [to]. */
    public fun send(request: FullHttpRequest, to: ResponseHandler) {
        if (!channel.isActive) {
            ReferenceCountUtil.release(request)
            to.onTransportFailure(TransportFailure.NOT_WRITTEN)
            return
        }
        receiver = to
        responseStarted = false
        requestWritten = false
        interimResponses = 0
        skippedCopies = 0
        requests++
        decoder.requestMethod = request.method()
        channel.writeAndFlush(request).addListener { written ->
            requestWritten = written.isSuccess
            if (!written.isSuccess) channel.close()
        }
    }

    /** Enables or disables reading, for back-pressure. */
    public fun setAutoRead(on: Boolean) {
        channel.config().isAutoRead = on
    }

    /**
     * Closes the connection and drops its handler. With a request in flight, the connection is reset: the bytes of the
     * request may be delayed on the way to a suspended instance, and a regular close would deliver them after the
     * caller has given up.
     */
    public fun close() {
        if (receiver != null) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        receiver = null
        channel.close()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        localPort = (channel.localAddress() as? InetSocketAddress)?.port
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            handle(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (responseStarted) receiver?.onReadComplete()
    }

    private fun handle(msg: Any) {
        // Without a request in flight, these are bytes behind a response, and the connection is being closed.
        val to = receiver ?: return
        if (msg is HttpResponse) {
            if (msg.decoderResult().isFailure) return fail(TransportFailure.MALFORMED)
            if (msg.status().codeClass() == HttpStatusClass.INFORMATIONAL) return handleInterim(msg, to)
            if (isLateCopy(msg, to)) return
            responseStarted = true
            unframed = decoder.isUnframed(msg)
            keepAlive = HttpUtil.isKeepAlive(msg)
            peerIdleTimeout = keepAliveTimeout(msg.headers().get(HttpHeaderNames.KEEP_ALIVE))
            to.onHead(msg)
        }
        if (msg is HttpContent) {
            if (msg.decoderResult().isFailure) return fail(TransportFailure.MALFORMED)
            if (!responseStarted) return
            if (receiver !== to) return
            if (msg.content().isReadable) to.onContent(msg.content())
            if (msg is LastHttpContent && receiver === to) complete(to)
        }
    }

    /** Skips [response], unless it cannot precede a final one: the peer may regard it as final itself. */
    private fun handleInterim(response: HttpResponse, to: ResponseHandler) {
        val isFinal = to.finalHeader?.let { response.headers().contains(it) } ?: false
        val valid = response.status() != HttpResponseStatus.SWITCHING_PROTOCOLS && !isFinal
        if (!valid || ++interimResponses > MAX_INTERIM_RESPONSES) fail(TransportFailure.MALFORMED)
    }

    /**
     * Returns whether [response] is a second copy of an earlier one, which ends before the awaited response begins. One
     * without a length has no such end.
     */
    private fun isLateCopy(response: HttpResponse, to: ResponseHandler): Boolean {
        val id = to.idToSkip(response)
        val late = id != null && id != to.id && id in earlierIds && !decoder.isUnframed(response)
        return late && ++skippedCopies <= MAX_SKIPPED_COPIES
    }

    private fun complete(to: ResponseHandler) {
        // The decoder ends an unframed response with the connection, however that ended.
        if (unframed && !inputEnded) return fail(TransportFailure.CUT)
        receiver = null
        channel.config().isAutoRead = true
        val undecoded = decoder.undecoded
        if (undecoded.isReadable) reportStray(StrayArrival.AFTER_RESPONSE, undecoded)
        val clean = !undecoded.isReadable && skippedCopies == 0
        to.id?.let {
            earlierIds.addLast(it)
            if (earlierIds.size > MAX_EARLIER_IDS) earlierIds.removeFirst()
        }
        // A peer may respond before it has read the whole request; the unread rest would corrupt the next request.
        val reusable = clean && keepAlive && requestWritten && !inputEnded && channel.isActive
        to.onComplete()
        if (reusable) {
            idleSince = ProcessClock.now()
            onIdle(this)
        } else {
            channel.close()
        }
    }

    private fun reportStray(arrival: StrayArrival, bytes: ByteBuf) {
        val idle = ProcessClock.now() - idleSince
        StrayBytesReporter.report(
            StrayBytes(
                peer = peer,
                connection = localPort,
                requests = requests,
                arrival = arrival,
                idleMillis = idle.inWholeMilliseconds.takeIf { arrival != StrayArrival.AFTER_RESPONSE },
                bytes = bytes.readableBytes(),
                text = StrayBytes.textOf(bytes),
            ),
        )
    }

    /** Keeps bytes from the decoder while no request is in flight, and notes an orderly end before the decoder does. */
    private inner class IdleInput : ChannelInboundHandlerAdapter() {
        override fun userEventTriggered(ctx: ChannelHandlerContext, evt: Any) {
            if (evt is ChannelInputShutdownEvent) inputEnded = true
            ctx.fireUserEventTriggered(evt)
        }

        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (receiver != null) {
                ctx.fireChannelRead(msg)
                return
            }
            val bytes = msg as ByteBuf
            if (channel.isActive) reportStray(StrayArrival.WHILE_IDLE, bytes)
            bytes.release()
            channel.close()
        }
    }

    private fun fail(reason: TransportFailure) {
        val to = receiver
        receiver = null
        channel.close()
        to?.onTransportFailure(reason)
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, evt: Any) {
        if (evt is ChannelInputShutdownEvent) ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(if (responseStarted) TransportFailure.CUT else TransportFailure.NO_ANSWER)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) DefectReporter.report("answer", cause)
        ctx.close()
    }

    private companion object {
        /** A peer that sends more interim responses to a request than this is not expected to send a final one. */
        const val MAX_INTERIM_RESPONSES = 8

        /** A copy comes late by a few requests at most. */
        const val MAX_EARLIER_IDS = 8
        const val MAX_SKIPPED_COPIES = 4
        private val timeoutPattern = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveTimeout(header: String?): Duration? =
            header?.let { timeoutPattern.find(it) }?.groupValues?.get(1)?.toLongOrNull()?.seconds
    }
}
