/**
 * What an instance believes: configuration, its proof of freshness, and the usable replicas.
 *
 * Written by the control thread and read by the traffic thread as one immutable snapshot.
 */
package org.jujubelead.gateway.store

import org.jujubelead.core.replica.Replica
import org.jujubelead.core.route.Configuration
import org.jujubelead.core.time.ClockReading
import kotlin.time.Duration

/**
 * @property confirmedAt when the read was sent that proved [configuration] to be the newest.
 * @property replicas usable replicas; null until the first list was read.
 */
public data class ControlState(
    val configuration: Configuration? = null,
    val confirmedAt: ClockReading? = null,
    val replicas: List<Replica>? = null,
) {
    /** Time since the configuration was proved to be the newest; infinite without a proof. */
    public fun age(now: ClockReading): Duration = confirmedAt?.let { now.since(it) } ?: Duration.INFINITE
}
