/** Whether this entry is listed as live, and drains during maintenance windows of its zone. */
package org.jujubelead.runtime.entry

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.process.MaintenanceWatch
import org.jujubelead.runtime.process.ProcessContext
import org.jujubelead.runtime.process.announceUntilTaken
import org.jujubelead.runtime.telemetry.Event
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The platform's list lags by seconds. */
private val LIST_LAG_ALLOWED: Duration = 15.seconds

internal class EntryPresence(
    private val context: ProcessContext,
    private val state: EntryState,
    private val incarnation: Incarnation,
) {
    private val watch = MaintenanceWatch(zone = context.zone, settings = { state.settings })
    private var announcer: Job? = null

    @Volatile private var returnedAt: Timestamp? = null

    /** Serves outside maintenance windows, and refuses new requests during them. */
    suspend fun followMaintenance() {
        // Listed before the first settings: the first entry of a zone becomes the relay that reads them.
        announce(InstanceState.LIVE)
        while (true) {
            watch.awaitDrain()
            Event.DRAIN_STARTED.log("instance=${context.instance} reason=maintenance")
            leave()
            watch.awaitReturn()
            returnedAt = context.control.now()
            state.draining = false
            announce(InstanceState.LIVE)
        }
    }

    /** Waits until the platform lists this entry as leaving, other than by its own word during maintenance. */
    suspend fun awaitLeaving() {
        while (true) {
            context.instances.awaitLeaving(context.instance, incarnation)
            if (!state.draining && !recentlyReturned()) return
            delay(LIST_LAG_ALLOWED)
        }
    }

    /** The list can show the own announcement of a maintenance window for a while after the window. */
    private fun recentlyReturned(): Boolean = returnedAt?.let { context.control.now() - it < LIST_LAG_ALLOWED } ?: false

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
