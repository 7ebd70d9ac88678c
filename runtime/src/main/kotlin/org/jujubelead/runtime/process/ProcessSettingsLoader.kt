/** Reads process settings from a YAML file. The keys are the field names of the `ProcessSettings` message. */
package org.jujubelead.runtime.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Message
import org.jujubelead.protocol.ProcessSettings
import org.yaml.snakeyaml.LoaderOptions
import org.yaml.snakeyaml.Yaml
import org.yaml.snakeyaml.constructor.SafeConstructor
import org.yaml.snakeyaml.error.YAMLException
import java.io.File
import java.io.IOException

/** An error in the settings file at the key [path]. */
public data class ProcessSettingsError(val path: String, val message: String)

/** Reads and validates [file]. Reports all errors at once. */
public fun loadProcessSettings(file: File): Result<ProcessSettings, List<ProcessSettingsError>> {
    val root = try {
        Yaml(SafeConstructor(LoaderOptions())).load<Any?>(file.readText())
    } catch (e: IOException) {
        return Err(listOf(ProcessSettingsError(path = "", message = e.message.orEmpty())))
    } catch (e: YAMLException) {
        return Err(listOf(ProcessSettingsError(path = "", message = e.message.orEmpty())))
    }
    val reader = MessageReader()
    val builder = ProcessSettings.newBuilder()
    reader.readMessage(builder, root, path = "")
    val required = mapOf(
        "instance" to builder.instance,
        "zone" to builder.zone,
        "listen" to builder.listen,
        "http" to builder.http,
        "key_value_url" to builder.keyValueUrl,
        "directory_url" to builder.directoryUrl,
    )
    val missing = required.filterValues { it.isEmpty() }.keys.map { ProcessSettingsError(it, "must be set") }
    val errors = reader.errors + missing
    return if (errors.isEmpty()) Ok(builder.build()) else Err(errors)
}

private class MessageReader {
    val errors = ArrayList<ProcessSettingsError>()

    fun readMessage(builder: Message.Builder, value: Any?, path: String) {
        val map = value as? Map<*, *> ?: return addError(path, "expected a mapping, found ${describe(value)}")
        map.forEach { (key, item) ->
            val name = if (path.isEmpty()) "$key" else "$path.$key"
            val field = builder.descriptorForType.findFieldByName("$key")
            if (field == null) {
                val known = builder.descriptorForType.fields.joinToString { it.name }
                addError(name, "is not a known key; known keys: $known")
            } else {
                readField(builder, field, item, name)
            }
        }
    }

    private fun readField(builder: Message.Builder, field: FieldDescriptor, value: Any?, path: String) {
        when (field.javaType) {
            FieldDescriptor.JavaType.MESSAGE -> {
                val child = builder.newBuilderForField(field)
                readMessage(child, value, path)
                builder.setField(field, child.build())
            }

            FieldDescriptor.JavaType.STRING ->
                if (value is String) {
                    builder.setField(field, value)
                } else {
                    addError(path, "expected a string, found ${describe(value)}")
                }

            FieldDescriptor.JavaType.INT ->
                if (value is Int && value >= 0) {
                    builder.setField(field, value)
                } else {
                    addError(path, "expected a whole number of 0 or more, found ${describe(value)}")
                }

            FieldDescriptor.JavaType.BOOLEAN ->
                if (value is Boolean) {
                    builder.setField(field, value)
                } else {
                    addError(path, "expected true or false, found ${describe(value)}")
                }

            else -> error("fields of type ${field.javaType} are not used in process settings")
        }
    }

    private fun addError(path: String, message: String) {
        errors += ProcessSettingsError(path = path, message = message)
    }

    private fun describe(value: Any?) = if (value == null) "nothing" else "\"$value\""
}
