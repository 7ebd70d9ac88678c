/**
 * Reports bytes that peers sent outside of a response.
 *
 * There is one reporter per process, so that connections need no reference to the log.
 */
package org.jujubelead.gateway.telemetry

import org.jujubelead.gateway.net.StrayBytes

public object StrayBytesReporter {
    @Volatile
    private var log: EventLog? = null

    /** Sets the log that receives the reports. */
    public fun reportTo(log: EventLog) {
        this.log = log
    }

    public fun report(stray: StrayBytes) {
        log?.log(
            LogEvent.STRAY_BYTES,
            "peer" to stray.peer,
            "connection" to stray.connection,
            "connectionUse" to stray.requests,
            "arrival" to stray.arrival,
            "idleMillis" to stray.idleMillis,
            "bytes" to stray.bytes,
            "text" to stray.text,
        )
    }
}
