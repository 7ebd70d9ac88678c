/**
 * State that an instance has read from the store: the configuration, when it was last confirmed, and the usable
 * replicas.
 *
 * The control-plane event loop publishes it to the data plane as an immutable snapshot.
 */
package org.jujubelead.gateway.store

import org.jujubelead.core.replica.Replica
import org.jujubelead.core.route.Configuration
import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.settings.DeploymentBounds
import kotlin.time.Duration

/**
 * @property confirmedAt when the read that confirmed [configuration] as the latest was sent.
 * @property awaitsProof true while the store answers, but may lack a newer configuration that was confirmed before it
 * came back from a copy.
 * @property replicas usable replicas; null until the first list has been read.
 * @property replicasReadAt when the latest list of replicas was requested, as of [confirmedAt].
 */
public data class ControlState(
    val configuration: Configuration? = null,
    val confirmedAt: ClockReading? = null,
    val awaitsProof: Boolean = false,
    val replicas: List<Replica>? = null,
    val replicasReadAt: Timestamp? = null,
) {
    /** Time since the configuration was confirmed as the latest; infinite if it never was. */
    public fun age(now: ClockReading): Duration = confirmedAt?.let { now.since(it) } ?: Duration.INFINITE

    /** Returns whether the configuration may still be used for what a newer one could have taken away. */
    public fun isTrusted(now: ClockReading, bounds: DeploymentBounds): Boolean =
        age(now) < if (awaitsProof) bounds.maxConfigurationAge else bounds.trustedConfigurationAge
}
