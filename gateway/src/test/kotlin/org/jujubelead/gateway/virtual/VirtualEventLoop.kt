/** Event loop in virtual time: a task that is due runs at once, and the time between two tasks passes at once. */
package org.jujubelead.gateway.virtual

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelPromise
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.util.concurrent.AbstractScheduledEventExecutor
import io.netty.util.concurrent.Future
import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.Clock
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

internal class VirtualEventLoop : AbstractScheduledEventExecutor(), EventLoop, Clock {
    private var nanos = 0L
    private val immediate = ArrayDeque<Runnable>()

    override fun now(): Timestamp = Timestamp(nanos / NANOS_PER_MICRO)

    override fun read(): ClockReading = ClockReading(now(), now().micros / MICROS_PER_MILLI)

    /** Runs all tasks that are due within [duration]. */
    fun run(duration: Duration) {
        val end = nanos + duration.inWholeNanoseconds
        while (true) {
            val task = immediate.removeFirstOrNull() ?: pollScheduledTask(nanos)
            if (task != null) {
                task.run()
                continue
            }
            val next = nextScheduledTaskNano()
            if (next < 0 || nanos + next > end) break
            nanos += next
        }
        nanos = end
    }

    /** Runs [task] after [delay]. */
    fun after(delay: Duration, task: () -> Unit) {
        schedule({ task() }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    override fun getCurrentTimeNanos(): Long = nanos

    override fun execute(command: Runnable) {
        immediate += command
    }

    override fun inEventLoop(): Boolean = true

    override fun inEventLoop(thread: Thread?): Boolean = true

    override fun parent(): EventLoopGroup = this

    override fun next(): EventLoop = this

    override fun register(channel: Channel?): ChannelFuture = throw UnsupportedOperationException()

    override fun register(promise: ChannelPromise?): ChannelFuture = throw UnsupportedOperationException()

    @Deprecated("declared so by EventLoopGroup")
    override fun register(channel: Channel?, promise: ChannelPromise?): ChannelFuture =
        throw UnsupportedOperationException()

    override fun isShuttingDown(): Boolean = false

    override fun isShutdown(): Boolean = false

    override fun isTerminated(): Boolean = false

    override fun shutdownGracefully(quietPeriod: Long, timeout: Long, unit: TimeUnit?): Future<*> =
        throw UnsupportedOperationException()

    override fun terminationFuture(): Future<*> = throw UnsupportedOperationException()

    @Deprecated("declared so by EventExecutorGroup")
    override fun shutdown() = throw UnsupportedOperationException()

    override fun awaitTermination(timeout: Long, unit: TimeUnit): Boolean = true

    private companion object {
        const val NANOS_PER_MICRO = 1_000
        const val MICROS_PER_MILLI = 1_000
    }
}
