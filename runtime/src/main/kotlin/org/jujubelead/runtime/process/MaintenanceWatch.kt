/** Watches the maintenance window of the zone of this process. */
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
 * @property settings current settings, read at each check so that a changed or removed window takes effect.
 * @property remainingWork 99th percentile of the duration of work on the target; null if not enough work has been
 * measured.
 */
public class MaintenanceWatch(
    private val zone: ZoneId,
    private val settings: () -> SettingsSnapshot?,
    private val remainingWork: () -> Duration? = { null },
    private val clock: Clock = Clock.System,
) {
    /** Returns the drain plan of the zone's maintenance window; null if the zone has no window. */
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

    /** Whether the zone must refuse new work now. */
    public fun isDraining(): Boolean = plan()?.isDraining(clock.now()) ?: false

    /** Waits until the zone has to drain. */
    public suspend fun awaitDrainStart() {
        while (!isDraining()) delay(CHECK_INTERVAL)
    }

    /** Waits until the zone may accept work again. */
    public suspend fun awaitWindowEnd() {
        while (isDraining()) delay(CHECK_INTERVAL)
    }
}
