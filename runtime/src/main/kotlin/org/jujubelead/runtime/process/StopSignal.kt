/** SIGTERM and SIGINT: the first starts a drain, the second stops at once. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.CompletableDeferred
import sun.misc.Signal

/** Completes [requested] at the first signal and calls [stopNow] at the second. */
public class StopSignal(private val stopNow: () -> Unit) {
    /** Completed when the process has to drain. */
    public val requested: CompletableDeferred<Unit> = CompletableDeferred()

    /** Installs the handlers. */
    public fun install() {
        listOf("TERM", "INT").forEach { name ->
            Signal.handle(Signal(name)) { if (!requested.complete(Unit)) stopNow() }
        }
    }
}
