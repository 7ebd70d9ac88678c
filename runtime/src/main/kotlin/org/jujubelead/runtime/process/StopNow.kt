/** The end of a process that does not wait for its work. */
package org.jujubelead.runtime.process

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.runtime.telemetry.Event

/** Exit code of a stop that cut requests. */
private const val EXIT_CUT = 3

/** Ends the process at once and logs that [open] answers are cut. */
public fun stopNow(instance: InstanceId, open: Int) {
    Event.DRAIN_CUT.log("instance=$instance cut=$open")
    Runtime.getRuntime().halt(if (open > 0) EXIT_CUT else 0)
}
