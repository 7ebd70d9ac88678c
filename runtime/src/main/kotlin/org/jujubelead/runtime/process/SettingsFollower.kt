/** Applies each new settings revision to the role of a process. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.settings.SettingsDistributor
import org.jujubelead.settings.SettingsSnapshot

/** Runs the distributor and calls [apply] with each adopted revision. Does not return. */
public suspend fun SettingsDistributor.follow(apply: (SettingsSnapshot) -> Unit): Unit = coroutineScope {
    launch { run() }
    settings.filterNotNull().collect { state ->
        apply(state.snapshot)
        Event.SETTINGS_APPLIED.log("revision=${state.revision}")
    }
}
