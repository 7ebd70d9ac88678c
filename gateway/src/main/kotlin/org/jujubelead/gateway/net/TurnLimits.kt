/**
 * Limits of the work that one connection causes in one turn of an event loop.
 *
 * The timers and all other connections of the loop wait for the end of a turn, so that it must not depend on how much a
 * peer sends.
 */
package org.jujubelead.gateway.net

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal object TurnLimits {
    /** Maximum number of bytes that are read from a connection in a turn. */
    private const val MAX_READ_BYTES = 16 * 1024
    private const val MIN_READ_BYTES = 64
    private const val INITIAL_READ_BYTES = 2 * 1024

    /** Maximum number of events that are passed on from a stream in a turn. */
    const val MAX_EVENTS = 64

    /** Number of bytes after which no more events are passed on from a stream in a turn. */
    const val MAX_EVENT_BYTES = 64 * 1024

    /** Time until the next turn of a stream with events left, in which the loop serves the others. */
    val CONTINUATION_DELAY: Duration = 1.milliseconds

    /** Read buffers of a connection that is read once in a turn. */
    val readBuffers: RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)
}
