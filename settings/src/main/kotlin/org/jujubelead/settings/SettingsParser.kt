/** Parses settings from YAML and reports all errors of a file at once, each with its line. */
package org.jujubelead.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import org.jujubelead.protocol.SettingsTree
import org.yaml.snakeyaml.LoaderOptions
import org.yaml.snakeyaml.Yaml
import org.yaml.snakeyaml.error.MarkedYAMLException
import org.yaml.snakeyaml.error.YAMLException
import org.yaml.snakeyaml.nodes.MappingNode
import org.yaml.snakeyaml.nodes.Node
import org.yaml.snakeyaml.nodes.ScalarNode
import org.yaml.snakeyaml.nodes.SequenceNode
import org.yaml.snakeyaml.nodes.Tag
import java.io.StringReader
import java.time.Instant
import java.time.format.DateTimeParseException

/** Maximum size of a settings file in characters; 3,400 workspaces take about 2 MB. */
private const val MAX_FILE_CHARS = 32 shl 20

public object SettingsParser {
    /** Parses and validates [text]; [fileName] is only used in messages. */
    public fun parse(text: String, fileName: String): Result<SettingsTree, List<ValidationError>> {
        val reader = FileReader(fileName)
        val values = reader.read(text)
        if (values == null) return Err(reader.errors)
        val tree = buildTree(values)
        // Values rejected by the reader are missing from the tree; do not report them again as missing.
        val rejected = reader.errors.mapTo(HashSet()) { it.path }
        val all = reader.errors + SettingsValidator.validate(tree, reader::position).filter { it.path !in rejected }
        return if (all.isEmpty()) Ok(tree) else Err(all.sortedBy { it.position.line })
    }
}

/** Reads one file and records the line of each path. Invalid values are omitted from the result. */
private class FileReader(private val fileName: String) {
    val errors = ArrayList<ValidationError>()
    private val lines = HashMap<SettingsPath, Int>()

    fun position(path: SettingsPath): SourcePosition {
        val line = generateSequence(path) { it.parent }.firstNotNullOfOrNull { lines[it] }
        return SourcePosition(file = fileName, line = line ?: 1)
    }

    fun read(text: String): Map<String, Any>? = try {
        val options = LoaderOptions().apply {
            codePointLimit = MAX_FILE_CHARS
            isAllowDuplicateKeys = false
        }
        when (val root = Yaml(options).compose(StringReader(text))) {
            null -> emptyMap()
            else -> readNode(root, SettingsTree.getDescriptor(), SettingsPath.ROOT)
        }
    } catch (e: MarkedYAMLException) {
        val line = e.problemMark?.line ?: 0
        errors +=
            ValidationError(SourcePosition(fileName, line + 1), SettingsPath.ROOT, e.problem ?: "not YAML", "YAML 1.1")
        null
    } catch (e: YAMLException) {
        errors += ValidationError(SourcePosition(fileName, 1), SettingsPath.ROOT, e.message ?: "not YAML", "YAML 1.1")
        null
    }

    private fun addError(node: Node, path: SettingsPath, found: String, allowed: String) {
        errors += ValidationError(SourcePosition(fileName, node.startMark.line + 1), path, found, allowed)
    }

    private fun entries(node: Node, path: SettingsPath, allowed: String): List<Pair<ScalarNode, Node>>? {
        if (node is ScalarNode && node.tag == Tag.NULL) return emptyList()
        if (node !is MappingNode) {
            addError(node, path, describe(node), allowed)
            return null
        }
        val seen = HashSet<String>()
        return node.value.mapNotNull { tuple ->
            val key = tuple.keyNode as? ScalarNode
            when {
                key == null -> addError(tuple.keyNode, path, describe(tuple.keyNode), "a scalar key")
                !seen.add(key.value) -> addError(key, path / key.value, "a duplicate key", "unique keys")
                else -> return@mapNotNull key to tuple.valueNode
            }
            null
        }
    }

    private fun readNode(node: Node, type: Descriptor, path: SettingsPath): Map<String, Any> {
        lines.putIfAbsent(path, node.startMark.line + 1)
        val fields = fieldsOf(type)
        val names = fields.keys.joinToString(", ")
        val out = LinkedHashMap<String, Any>()
        entries(node, path, "a mapping with the keys $names").orEmpty().forEach { (key, value) ->
            val field = fields[key.value]
            if (field == null) {
                val closestMatch = closestMatch(key.value, fields.keys)
                addError(
                    key,
                    path / key.value,
                    "unknown key \"${key.value}\"",
                    closestMatch?.let { "did you mean \"$it\"?" } ?: names,
                )
            } else {
                lines[path / key.value] = key.startMark.line + 1
                readField(value, field, path / key.value)?.let { out[key.value] = it }
            }
        }
        return out
    }

    private fun readField(node: Node, field: FieldDescriptor, path: SettingsPath): Any? = when {
        field.isMapField -> readNamedNodes(node, valueType(field), path)
        field.javaType == FieldDescriptor.JavaType.MESSAGE -> readNode(node, field.messageType, path)
        field.isRepeated -> readItems(node, field, path)
        else -> readScalar(node, field, path)
    }

    private fun readNamedNodes(node: Node, type: Descriptor, path: SettingsPath): Map<String, Any> {
        val out = LinkedHashMap<String, Any>()
        entries(node, path, "a mapping from names to nodes").orEmpty().forEach { (key, value) ->
            if (!NODE_NAME.pattern.matches(key.value)) {
                addError(key, path / key.value, "the name \"${key.value}\"", NODE_NAME.allowed)
            } else {
                lines[path / key.value] = key.startMark.line + 1
                out[key.value] = readNode(value, type, path / key.value)
            }
        }
        return out
    }

    private fun readItems(node: Node, field: FieldDescriptor, path: SettingsPath): List<Any>? {
        if (node !is SequenceNode) {
            addError(node, path, describe(node), specOf(field)?.rule?.allowed ?: "a list")
            return null
        }
        val items = node.value.mapNotNull { item -> readScalar(item, field, path)?.let { item to it } }
        items.groupBy { it.second }.values.filter { it.size > 1 }.forEach { duplicates ->
            addError(duplicates[1].first, path, "a duplicate element \"${duplicates[1].second}\"", "unique elements")
        }
        return items.map { it.second }
    }

    private fun readScalar(node: Node, field: FieldDescriptor, path: SettingsPath): Any? {
        val rule = checkNotNull(specOf(field)) { "no entry for ${field.fullName} in the field table" }.rule
        val value = (node as? ScalarNode)?.takeIf { it.tag != Tag.NULL }?.value?.let { convert(it, rule) }
        if (value == null) addError(node, path, describe(node), rule.allowed)
        return value
    }

    private fun convert(text: String, rule: FieldRule): Any? = when (rule) {
        is FieldRule.Integer -> text.replace("_", "").toIntOrNull()?.takeIf { it in rule.range }
        is FieldRule.Decimal -> text.toDoubleOrNull()?.takeIf { it in rule.range }
        is FieldRule.Text -> text.takeIf { rule.pattern.matches(it) }
        FieldRule.Instant -> text.takeIf { parseInstant(it) != null }
    }

    private fun describe(node: Node): String = when (node) {
        is ScalarNode -> if (node.tag == Tag.NULL) "no value" else "\"${node.value}\""
        is SequenceNode -> "a list"
        else -> "a mapping"
    }
}

/** Parses an RFC 3339 instant; returns null if [text] is not one. */
public fun parseInstant(text: String): Instant? = try {
    Instant.parse(text)
} catch (e: DateTimeParseException) {
    null
}

/** Maximum edit distance of a suggested key, as a fraction of the longer key's length. */
private const val MAX_EDIT_DISTANCE_RATIO = 0.5

/** Returns the known key with the smallest edit distance from [key]; null if no key is close enough. */
internal fun closestMatch(key: String, known: Collection<String>): String? =
    known.map { it to editDistance(key, it) }
        .filter { (name, distance) -> distance <= maxOf(key.length, name.length) * MAX_EDIT_DISTANCE_RATIO }
        .minByOrNull { it.second }?.first

private fun editDistance(a: String, b: String): Int {
    var row = IntArray(b.length + 1) { it }
    a.forEachIndexed { i, x ->
        val next = IntArray(b.length + 1)
        next[0] = i + 1
        b.forEachIndexed { j, y ->
            next[j + 1] = minOf(row[j + 1] + 1, next[j] + 1, row[j] + if (x == y) 0 else 1)
        }
        row = next
    }
    return row[b.length]
}
