/** A target as an entry knows it: where it is and what it serves. */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId

/** Identifies one life of a target. Evidence about an earlier incarnation says nothing about a later one. */
public data class TargetKey(val instance: InstanceId, val incarnation: Incarnation) {
    private val hash = 31 * instance.value.hashCode() + incarnation.value.hashCode()

    override fun hashCode(): Int = hash
}

/** The targets that serve the same model or plain service, and so can stand in for each other. */
public data class TargetSetId(val kind: TargetKind, val serves: String)

/** A target and the address of its agent. */
public data class Target(val key: TargetKey, val zone: ZoneId, val set: TargetSetId, val host: String, val port: Int)

/** The target behind a listed agent; null for entries and for agents that serve nothing. */
public fun InstanceRecord.toTarget(): Target? {
    val kind = kind ?: return null
    val serves = serves ?: return null
    if (role != InstanceRole.AGENT) return null
    return Target(TargetKey(id, incarnation), zone, TargetSetId(kind, serves), host, port)
}
