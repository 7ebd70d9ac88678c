/** Registers this entry with the platform, and drains it during maintenance windows of its zone. */
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
import org.jujubelead.runtime.process.announceUntilAccepted
import org.jujubelead.runtime.telemetry.Event
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Upper bound for the delay with which the platform's instance list shows an announcement. */
private val MAX_LIST_LAG: Duration = 15.seconds

internal class EntryRegistration(
    private val context: ProcessContext,
    private val state: EntryState,
    private val incarnation: Incarnation,
) {
    private val maintenance = MaintenanceWatch(zone = context.zone, settings = { state.settings })
    private var announcement: Job? = null

    @Volatile private var resumedAt: Timestamp? = null

    /** Accepts requests outside maintenance windows and refuses new ones during them. Does not return. */
    suspend fun followMaintenance() {
        // Register before any settings have been received: the first entry of a zone becomes the relay that reads
        // the settings.
        announce(InstanceState.LIVE)
        while (true) {
            maintenance.awaitDrainStart()
            Event.DRAIN_STARTED.log("instance=${context.instance} reason=maintenance")
            startDrain()
            maintenance.awaitWindowEnd()
            resumedAt = context.control.now()
            state.draining = false
            announce(InstanceState.LIVE)
        }
    }

    /** Waits until the platform lists this entry as leaving for a reason other than its own drain for maintenance. */
    suspend fun awaitLeaving() {
        while (true) {
            context.instances.awaitLeaving(context.instance, incarnation)
            if (!state.draining && !recentlyResumed()) return
            delay(MAX_LIST_LAG)
        }
    }

    /** After a maintenance window, the list may still show this entry as leaving. */
    private fun recentlyResumed(): Boolean = resumedAt?.let { context.control.now() - it < MAX_LIST_LAG } ?: false

    /** Refuses new requests and announces this entry as leaving. Requests in progress continue. */
    fun startDrain() {
        state.draining = true
        announce(InstanceState.LEAVING)
    }

    private fun announce(instanceState: InstanceState) {
        announcement?.cancel()
        announcement = context.scope.launch {
            context.directory.announceUntilAccepted(context.record(InstanceRole.ENTRY, incarnation, instanceState))
        }
    }
}
