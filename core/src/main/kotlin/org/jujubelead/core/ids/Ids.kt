/** Identifiers used across modules. Each is a value class, so that one kind cannot be passed for another. */
package org.jujubelead.core.ids

import kotlinx.serialization.Serializable

/** A machine that runs one process of the system, by the name the platform gives it. */
@JvmInline
@Serializable
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** One life of the process on an instance. A restart gives a new incarnation. */
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

/** A model served by model groups. */
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

/** A rank group that runs in lock-step on one expert map. */
@JvmInline
@Serializable
public value class GroupId(public val value: String) {
    override fun toString(): String = value
}

/** One request of a caller, through all its attempts. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** One try to run a request on one target. */
@JvmInline
@Serializable
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one write, so that its outcome can be told after a lost answer. */
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

/** Fencing number of a lease. A holder with a lower number is out of date. */
@JvmInline
@Serializable
public value class Fence(public val value: Long) : Comparable<Fence> {
    override fun compareTo(other: Fence): Int = value.compareTo(other.value)
    override fun toString(): String = value.toString()
}
