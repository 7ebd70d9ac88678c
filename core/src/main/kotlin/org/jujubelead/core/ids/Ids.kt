/** Identifiers used across modules. Each kind has its own type, so that they cannot be confused. */
package org.jujubelead.core.ids

import kotlinx.serialization.Serializable

/** Name that the platform gives to a machine that runs one process of the system. */
@JvmInline
@Serializable
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** One run of the process on an instance. Each restart creates a new incarnation. */
@JvmInline
@Serializable
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}

/** An availability zone. */
@JvmInline
@Serializable
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}

/** A tenant. */
@JvmInline
@Serializable
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}

/** A model that is served by rank groups. */
@JvmInline
@Serializable
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** A plain service. */
@JvmInline
@Serializable
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** A group of ranks that execute in lockstep with one expert map. */
@JvmInline
@Serializable
public value class GroupId(public val value: String) {
    override fun toString(): String = value
}

/** A request of a caller, across all its attempts. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** One attempt to run a request on one target. */
@JvmInline
@Serializable
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a write, so that its outcome can be determined when the response is lost. */
@JvmInline
@Serializable
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}

/** Revision of the settings. Higher is newer. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** Fencing token of a lease. A holder with a lower token has lost the lease. */
@JvmInline
@Serializable
public value class Fence(public val value: Long) : Comparable<Fence> {
    override fun compareTo(other: Fence): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}

/** Id of a part of a prompt. Requests whose prompts share the part name the same id. */
@JvmInline
public value class PromptPartId(public val value: String) {
    override fun toString(): String = value
}
