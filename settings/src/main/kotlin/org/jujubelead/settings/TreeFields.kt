/**
 * Converts between Protobuf messages and nested or flat values by reflection over the schema.
 *
 * In YAML and in paths, the fields of a node's `overrides` message are inlined into the node.
 */
package org.jujubelead.settings

import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Message
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.SettingsTree
import java.util.TreeMap

/** The value of a field, or the presence of a node. */
public sealed interface FieldValue {
    /** Marks a node that exists. */
    public data object Present : FieldValue

    /** A string or number. */
    public data class Scalar(val value: Any) : FieldValue {
        override fun toString(): String = value.toString()
    }

    /** A list of strings. A merge treats it as a single value. */
    public data class Items(val values: List<String>) : FieldValue {
        override fun toString(): String = values.toString()
    }
}

private const val OVERRIDES_FIELD = "overrides"

internal fun isInlined(field: FieldDescriptor): Boolean = field.name == OVERRIDES_FIELD

/** Returns the fields allowed in a node of type [type], including those of its overrides. */
internal fun fieldsOf(type: Descriptor): Map<String, FieldDescriptor> =
    type.fields.flatMap { if (isInlined(it)) Overrides.getDescriptor().fields else listOf(it) }.associateBy { it.name }

internal fun valueType(map: FieldDescriptor): Descriptor = map.messageType.findFieldByName("value").messageType

/** Returns the fields and nodes of a tree, sorted by path. */
public fun flatten(tree: SettingsTree): Map<SettingsPath, FieldValue> =
    TreeMap<SettingsPath, FieldValue>().also { flattenInto(it, tree, SettingsPath.ROOT) }

private fun flattenInto(out: MutableMap<SettingsPath, FieldValue>, message: Message, path: SettingsPath) {
    message.allFields.forEach { (field, value) ->
        when {
            isInlined(field) -> flattenInto(out, value as Message, path)

            field.isMapField -> (value as List<*>).forEach { entry ->
                val node = path / field.name / (entry as Message).mapKey
                out[node] = FieldValue.Present
                flattenInto(out, entry.mapValue, node)
            }

            field.isRepeated -> out[path / field.name] = FieldValue.Items((value as List<*>).map { it.toString() })

            field.javaType == FieldDescriptor.JavaType.MESSAGE -> {
                out[path / field.name] = FieldValue.Present
                flattenInto(out, value as Message, path / field.name)
            }

            else -> out[path / field.name] = FieldValue.Scalar(value)
        }
    }
}

private val Message.mapKey: String get() = getField(descriptorForType.findFieldByName("key")) as String

private val Message.mapValue: Message get() = getField(descriptorForType.findFieldByName("value")) as Message

/** Builds a tree from its fields and nodes; the inverse of [flatten]. */
public fun unflatten(fields: Map<SettingsPath, FieldValue>): SettingsTree = buildTree(nested(fields))

/** Nests fields and nodes as in YAML. */
internal fun nested(fields: Map<SettingsPath, FieldValue>): Map<String, Any> =
    LinkedHashMap<String, Any>().also { root ->
        fields.forEach { (path, value) -> insert(root, path.segments, value) }
    }

@Suppress("UNCHECKED_CAST")
private fun insert(root: MutableMap<String, Any>, segments: List<String>, value: FieldValue) {
    val parent = segments.dropLast(1).fold(root) { node, name ->
        node.getOrPut(name) { LinkedHashMap<String, Any>() } as MutableMap<String, Any>
    }
    when (value) {
        FieldValue.Present -> parent.getOrPut(segments.last()) { LinkedHashMap<String, Any>() }
        is FieldValue.Scalar -> parent[segments.last()] = value.value
        is FieldValue.Items -> parent[segments.last()] = value.values
    }
}

/** Builds a tree from nested maps, lists and scalars whose types match the schema. */
internal fun buildTree(root: Map<String, Any>): SettingsTree =
    SettingsTree.newBuilder().also { fill(it, root) }.build()

private fun fill(builder: Message.Builder, values: Map<String, Any>) {
    val type = builder.descriptorForType
    values.forEach { (name, value) ->
        val ownField = type.findFieldByName(name)
        if (ownField == null) {
            val overrides = builder.getFieldBuilder(type.findFieldByName(OVERRIDES_FIELD))
            overrides.setField(overrides.descriptorForType.findFieldByName(name), value)
        } else {
            fillField(builder, ownField, value)
        }
    }
}

@Suppress("UNCHECKED_CAST")
private fun fillField(builder: Message.Builder, field: FieldDescriptor, value: Any) {
    when {
        field.isMapField -> (value as Map<String, Any>).forEach { (key, node) ->
            val entry = builder.newBuilderForField(field)
            val valueField = entry.descriptorForType.findFieldByName("value")
            val child = entry.newBuilderForField(valueField).also { fill(it, node as Map<String, Any>) }
            entry.setField(entry.descriptorForType.findFieldByName("key"), key).setField(valueField, child.build())
            builder.addRepeatedField(field, entry.build())
        }

        field.isRepeated -> (value as List<*>).forEach { builder.addRepeatedField(field, it) }

        field.javaType == FieldDescriptor.JavaType.MESSAGE ->
            fill(builder.getFieldBuilder(field), value as Map<String, Any>)

        else -> builder.setField(field, value)
    }
}
