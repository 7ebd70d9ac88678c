/** Whether this entry is listed as live, and drains during maintenance windows of its zone. */
package org.jujubelead.runtime.entry

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.runtime.process.MaintenanceWatch
import org.jujubelead.runtime.process.ProcessContext
import org.jujubelead.runtime.process.announceUntilTaken
import org.jujubelead.runtime.telemetry.Event
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val SETTINGS_POLL: Duration = 50.milliseconds

internal class EntryPresence(
    private val context: ProcessContext,
    private val state: EntryState,
    private val incarnation: Incarnation,
) {
    private val watch = MaintenanceWatch(zone = context.zone, settings = { state.settings })
    private var announcer: Job? = null

    /** Serves outside maintenance windows, and refuses new requests during them. */
    suspend fun followMaintenance() {
        while (state.settings == null) delay(SETTINGS_POLL)
        while (true) {
            watch.awaitReturn()
            state.draining = false
            announce(InstanceState.LIVE)
            watch.awaitDrain()
            Event.DRAIN_STARTED.log("instance=${context.instance} reason=maintenance")
            leave()
        }
    }

    /** Refuses new requests, and says so to the platform. Open requests go on. */
    fun leave() {
        state.draining = true
        announce(InstanceState.LEAVING)
    }

    private fun announce(listed: InstanceState) {
        announcer?.cancel()
        announcer = context.scope.launch {
            context.directory.announceUntilTaken(context.record(InstanceRole.ENTRY, incarnation, listed))
        }
    }
}
