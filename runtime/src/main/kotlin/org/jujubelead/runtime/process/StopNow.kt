/** Immediate stop of a process, without waiting for work in progress. */
package org.jujubelead.runtime.process

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.runtime.telemetry.Event

/** Exit code when requests in progress were aborted. */
private const val EXIT_REQUESTS_CUT = 3

/** Halts the process immediately and logs the number of aborted answers, [open]. */
public fun stopNow(instance: InstanceId, open: Int) {
    Event.DRAIN_CUT.log("instance=$instance cut=$open")
    Runtime.getRuntime().halt(if (open > 0) EXIT_REQUESTS_CUT else 0)
}
