package org.jujubelead.claims

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume
import kotlin.time.Duration.Companion.milliseconds

/** Simulates the thread of a process that can be frozen. [scope] runs in virtual time and is never frozen. */
@OptIn(InternalCoroutinesApi::class)
internal class PausableDispatcher(private val scope: CoroutineScope) : CoroutineDispatcher(), Delay {
    private val queued = ArrayDeque<Runnable>()
    private var paused = false

    fun pause() {
        paused = true
    }

    fun resume() {
        paused = false
        while (queued.isNotEmpty()) scope.launchBlock(queued.removeFirst())
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (paused) queued += block else scope.launchBlock(block)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = scope.launch {
            delay(timeMillis.milliseconds)
            continuation.resume(Unit)
        }
        continuation.invokeOnCancellation { timer.cancel() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val timer = scope.launch {
            delay(timeMillis.milliseconds)
            dispatch(context, block)
        }
        return DisposableHandle { timer.cancel() }
    }

    private fun CoroutineScope.launchBlock(block: Runnable) {
        launch { if (paused) queued += block else block.run() }
    }
}
