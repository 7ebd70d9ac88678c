/** The single thread to which the control state of a process is confined. Request traffic runs on other threads. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import org.jujubelead.core.time.Timestamp
import java.util.concurrent.Executors

private const val NANOS_PER_MICRO = 1_000L

/** Single-threaded dispatcher for control state, and the clock of the process. */
public class ControlThread(name: String) : AutoCloseable {
    /** Runs coroutines on the control thread. */
    public val dispatcher: ExecutorCoroutineDispatcher =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()

    /** Current time of the monotonic clock. */
    public fun now(): Timestamp = Timestamp(System.nanoTime() / NANOS_PER_MICRO)

    /** Runs [block] on the control thread with the current time. */
    public suspend fun <T> run(block: (Timestamp) -> T): T = withContext(dispatcher) { block(now()) }

    override fun close(): Unit = dispatcher.close()
}
