/** One record of the platform's list of instances. The list lags behind the actual state. */
package org.jujubelead.core.membership

import kotlinx.serialization.Serializable
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId

/** Process on an instance: an entry accepts requests of callers, an agent runs beside a target. */
@Serializable
public enum class InstanceRole { ENTRY, AGENT }

/** State of an instance in the platform's list. */
@Serializable
public enum class InstanceState { LIVE, LEAVING }

/** What a target serves: a model or a plain service. */
@Serializable
public enum class TargetKind { MODEL, SERVICE }

/**
 * An instance as the platform lists it.
 *
 * @property host IP address that other instances reach the process at.
 * @property port TCP port that other instances reach the process at.
 * @property serves name of the model or plain service beside an agent; null for entries.
 */
@Serializable
public data class InstanceRecord(
    val id: InstanceId,
    val incarnation: Incarnation,
    val zone: ZoneId,
    val role: InstanceRole,
    val host: String,
    val port: Int,
    val state: InstanceState = InstanceState.LIVE,
    val kind: TargetKind? = null,
    val serves: String? = null,
)
