/**
 * Where exceptions go that no part expects.
 *
 * One place for the whole process, so that network code can report a defect without carrying the log along.
 */
package org.jujubelead.gateway.telemetry

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Reports defects as events of one log. */
public object DefectReporter {
    @Volatile
    private var log: EventLog? = null

    /** Sets the log of this process. */
    public fun reportTo(log: EventLog) {
        this.log = log
    }

    public fun report(where: String, cause: Throwable) {
        val at = cause.stackTrace.firstOrNull { it.className.startsWith("org.jujubelead") }
        log?.log(LogEvent.DEFECT, "where" to where, "cause" to cause.toString(), "at" to at)
    }
}

/** Runs [task] again and again. A task that throws is reported and runs again; the loop would drop it silently. */
public fun EventLoop.scheduleRepeating(millis: Long, where: String, task: () -> Unit) {
    scheduleWithFixedDelay({ guarded(where, task) }, millis, millis, TimeUnit.MILLISECONDS)
}

private fun guarded(where: String, task: () -> Unit) {
    try {
        task()
    } catch (e: RuntimeException) {
        DefectReporter.report(where, e)
    }
}
