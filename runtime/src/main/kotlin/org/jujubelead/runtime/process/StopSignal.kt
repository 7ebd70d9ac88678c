/** Stop requests. The first SIGTERM or SIGINT starts a drain, the second stops the process immediately. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.CompletableDeferred
import sun.misc.Signal
import java.util.concurrent.atomic.AtomicInteger

/** Completes [requested] at the first signal and calls [stopNow] at the second. */
public class StopSignal(private val stopNow: () -> Unit) {
    private val signals = AtomicInteger()

    /** Completed when a drain has been requested. */
    public val requested: CompletableDeferred<Unit> = CompletableDeferred()

    /** Requests a drain, like the first signal. */
    public fun request() {
        requested.complete(Unit)
    }

    /** Installs the signal handlers. */
    public fun install() {
        listOf("TERM", "INT").forEach { name ->
            Signal.handle(Signal(name)) {
                if (signals.incrementAndGet() == 1) request() else stopNow()
            }
        }
    }
}
