/**
 * Reports unexpected exceptions to the log of the process.
 *
 * There is one reporter per process, so that network code can report a defect without a reference to the log.
 */
package org.jujubelead.gateway.telemetry

public object DefectReporter {
    @Volatile
    private var log: EventLog? = null

    /** Sets the log that receives defects. */
    public fun reportTo(log: EventLog) {
        this.log = log
    }

    public fun report(where: String, cause: Throwable) {
        val at = cause.stackTrace.firstOrNull { it.className.startsWith("org.jujubelead") }
        log?.log(LogEvent.DEFECT, "where" to where, "cause" to cause.toString(), "at" to at)
    }
}
