/** Identity, location and service of a target. */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId

/** Identifies one incarnation of a target. Failures of one incarnation do not count for the next. */
public data class TargetKey(val instance: InstanceId, val incarnation: Incarnation) {
    private val hash = 31 * instance.value.hashCode() + incarnation.value.hashCode()

    override fun hashCode(): Int = hash
}

/** Identifies the set of targets that serve the same model or plain service and are interchangeable. */
public data class TargetSetId(val kind: TargetKind, val serves: String)

/** A target and the address of its agent. */
public data class Target(val key: TargetKey, val zone: ZoneId, val set: TargetSetId, val host: String, val port: Int)

/** Returns the target of a listed agent; null for entries and for agents that serve nothing. */
public fun InstanceRecord.toTarget(): Target? {
    val kind = kind ?: return null
    val serves = serves ?: return null
    if (role != InstanceRole.AGENT) return null
    return Target(TargetKey(id, incarnation), zone, TargetSetId(kind, serves), host, port)
}
