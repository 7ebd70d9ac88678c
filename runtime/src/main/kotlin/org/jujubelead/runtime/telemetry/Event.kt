/** Log events with stable codes. The catalogue in docs/events.md lists the meaning of each and the action to take. */
package org.jujubelead.runtime.telemetry

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** A log event with a stable code. */
public enum class Event(public val code: String, public val level: Level) {
    PROCESS_STARTED("JJ-1001", Level.INFO),
    PROCESS_STOPPED("JJ-1002", Level.INFO),
    DRAIN_STARTED("JJ-1003", Level.INFO),
    DRAIN_FINISHED("JJ-1004", Level.INFO),
    DRAIN_CUT("JJ-1005", Level.WARN),
    SETTINGS_APPLIED("JJ-2001", Level.INFO),
    DIRECTORY_UNAVAILABLE("JJ-2101", Level.WARN),
    TARGET_SILENT("JJ-3001", Level.WARN),
    TARGET_FAILED("JJ-3002", Level.WARN),
    STREAM_MOVED("JJ-3004", Level.INFO),
    REQUEST_REFUSED("JJ-3101", Level.DEBUG),
    REQUEST_FAILED("JJ-3102", Level.WARN),
    ATTEMPT_REFUSED("JJ-4001", Level.DEBUG),
    ATTEMPT_ORPHANED("JJ-4002", Level.INFO),
    CLAIMS_UNAVAILABLE("JJ-5001", Level.WARN),
    ;

    /** Logs the event. [detail] contains its fields. */
    public fun log(detail: String, cause: Throwable? = null) {
        logger.atLevel(level).withThrowable(cause).log("{} {} {}", code, name, detail)
    }

    private companion object {
        val logger = LogManager.getLogger("jujubelead")
    }
}
