/** Requests to stop: SIGTERM and SIGINT start a drain, a second one stops at once; other parts can ask for a drain. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.CompletableDeferred
import sun.misc.Signal
import java.util.concurrent.atomic.AtomicInteger

/** Completes [requested] at the first signal and calls [stopNow] at the second. */
public class StopSignal(private val stopNow: () -> Unit) {
    private val signals = AtomicInteger()

    /** Completed when the process has to drain. */
    public val requested: CompletableDeferred<Unit> = CompletableDeferred()

    /** Asks for a drain, as the first signal does. */
    public fun request() {
        requested.complete(Unit)
    }

    /** Installs the handlers. */
    public fun install() {
        listOf("TERM", "INT").forEach { name ->
            Signal.handle(Signal(name)) {
                if (signals.incrementAndGet() == 1) request() else stopNow()
            }
        }
    }
}
