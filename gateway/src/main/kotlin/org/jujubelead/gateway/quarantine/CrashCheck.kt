/**
 * Finds out whether a replica has crashed after it lost a request.
 *
 * Connections are also lost when a replica sheds load, closes idle connections or sits behind a faulty link. A crashed
 * replica refuses new connections; any other result is no crash. Runs on the data plane's event loop.
 */
package org.jujubelead.gateway.quarantine

import io.netty.channel.EventLoop
import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ConnectionPool
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.schedule.scheduleOnce
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class CrashCheck(private val loop: EventLoop) {
    private val waiting = HashMap<Incarnation, MutableList<(Boolean) -> Unit>>()
    private val crashed = HashMap<Incarnation, Timestamp>()

    /** Passes to [done] whether [replica] refuses connections on [pool]. */
    fun check(replica: Replica, pool: ConnectionPool, done: (Boolean) -> Unit) {
        val now = ProcessClock.now()
        crashed.values.removeIf { now > it }
        val incarnation = replica.incarnation
        if (incarnation in crashed) return done(true)
        val others = waiting.getOrPut(incarnation) { ArrayList() }
        others += done
        if (others.size > 1) return
        val timer = loop.scheduleOnce(TIMEOUT, "crash check") { finish(incarnation, false) }
        pool.testConnection { refused ->
            timer.cancel(false)
            finish(incarnation, refused)
        }
    }

    private fun finish(incarnation: Incarnation, refused: Boolean) {
        if (refused) crashed[incarnation] = ProcessClock.now() + RESULT_LIFETIME
        waiting.remove(incarnation)?.forEach { done -> guarded("crash check") { done(refused) } }
    }

    private companion object {
        /** Several round trips; a caller waits meanwhile. */
        val TIMEOUT: Duration = 250.milliseconds

        /** Within this time, the connections of all requests that a crash ended are lost. */
        val RESULT_LIFETIME: Duration = 500.milliseconds
    }
}
