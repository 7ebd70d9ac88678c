/** Follows the accepted settings. */
package org.jujubelead.runtime.process

import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import org.jujubelead.core.ids.Revision
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.settings.SettingsSnapshot
import org.jujubelead.settings.SettingsStore
import kotlin.time.Duration.Companion.seconds

/** Reads the settings each second and calls [apply] with every higher revision. */
public suspend fun ProcessContext.followSettings(apply: (SettingsSnapshot) -> Unit) {
    val store = SettingsStore(keyValue)
    var known: Revision? = null
    while (true) {
        store.read().fold(
            success = { snapshot ->
                val current = known
                if (snapshot != null && (current == null || snapshot.revision > current)) {
                    known = snapshot.revision
                    apply(snapshot)
                    Event.SETTINGS_APPLIED.log("revision=${snapshot.revision}")
                }
            },
            failure = { Event.SETTINGS_UNAVAILABLE.log("$it") },
        )
        delay(1.seconds)
    }
}
