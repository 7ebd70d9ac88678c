/** Follows the maintenance window of the own zone. */
package org.jujubelead.runtime.process

import kotlinx.coroutines.delay
import org.jujubelead.core.drain.DrainPlan
import org.jujubelead.core.drain.MaintenanceWindow
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.settings.SettingsSnapshot
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toKotlinInstant

private val CHECK_INTERVAL: Duration = 0.5.seconds

/**
 * @property settings the settings in force, read at each check, so that a changed or withdrawn window takes effect.
 * @property remainingWork 99th percentile of the time that work in progress still takes; null when unmeasured.
 */
public class MaintenanceWatch(
    private val zone: ZoneId,
    private val settings: () -> SettingsSnapshot?,
    private val remainingWork: () -> Duration? = { null },
    private val clock: Clock = Clock.System,
) {
    /** The plan of the zone's window; null without one. */
    public fun plan(): DrainPlan? {
        val snapshot = settings() ?: return null
        val window = snapshot.zoneMaintenance(zone) ?: return null
        return DrainPlan.of(
            window = MaintenanceWindow(
                zone = zone,
                start = window.start.toKotlinInstant(),
                end = window.end.toKotlinInstant(),
            ),
            drainLead = snapshot.forZone(zone).drainLeadS.seconds,
            remainingWork = remainingWork(),
        )
    }

    /** Whether the zone takes no new work now. */
    public fun drains(): Boolean = plan()?.isDraining(clock.now()) ?: false

    /** Waits until the zone has to drain. */
    public suspend fun awaitDrain() {
        while (!drains()) delay(CHECK_INTERVAL)
    }

    /** Waits until the zone may take work again. */
    public suspend fun awaitReturn() {
        while (drains()) delay(CHECK_INTERVAL)
    }
}
