/** Keeps the settings of a process up to date and tells its role about each revision. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.settings.SettingsDistributor
import org.jujubelead.settings.SettingsSnapshot

/** Runs the distributor, and calls [apply] with every revision that is adopted. Does not return. */
public suspend fun SettingsDistributor.follow(apply: (SettingsSnapshot) -> Unit): Unit = coroutineScope {
    launch { run() }
    settings.filterNotNull().collect { state ->
        apply(state.snapshot)
        Event.SETTINGS_APPLIED.log("revision=${state.revision}")
    }
}
