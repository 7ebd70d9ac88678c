/** One line of the platform's list of instances. The list lags behind reality. */
package org.jujubelead.core.membership

import kotlinx.serialization.Serializable
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId

/** What an instance runs. */
@Serializable
public enum class InstanceRole { ENTRY, AGENT }

/** What the platform believes about an instance. */
@Serializable
public enum class InstanceState { LIVE, LEAVING }

/** What a target serves: a model or a plain service. */
@Serializable
public enum class TargetKind { MODEL, SERVICE }

/**
 * An instance as the platform lists it.
 *
 * @property host IP number of the process for messages between own processes.
 * @property port TCP port of the process for messages between own processes.
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
