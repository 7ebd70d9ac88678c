/** Generates the settings reference from the schema and the field table. */
package org.jujubelead.settings

import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.SettingsTree

private val intro = """
    # Settings reference

    This page is generated from the schema and the field table. After a change of either, run
    `UPDATE_DOCS=1 mvn -pl settings -am test -Dtest=SettingsReferenceTest`.

    Settings are one YAML tree. Each node may set any of the [inherited values](#inherited-values) next to its own
    fields. The most specific node that sets a value takes precedence, in this order:

    1. the service or model nested in the workspace (`workspaces/NAME/per_service/NAME` or
       `workspaces/NAME/per_model/NAME`);
    2. the workspace;
    3. the service or model;
    4. the zone;
    5. `defaults`;
    6. the built-in default.

    `jujubelead settings get PATH --effective` prints the effective values of a node and where they are set.

    Node names have ${NODE_NAME.allowed}.

""".trimIndent()

private val checks = """
    ## Validation of the whole tree

    - Models and services in a workspace's lists exist, and `per_model` and `per_service` contain only models and
      services from these lists.
    - Path prefixes of services do not overlap, and are not below `/v1`, `/metrics`, `/healthz` or `/readyz`.
    - A token belongs to only one workspace.
    - A maintenance window starts before it ends.
    - For the effective values of every node: `key_retention_s` is at least as long as `request_timeout_ms`, and
      `first_token_objective_ms` and `token_gap_objective_ms` are at most `request_timeout_ms`.

""".trimIndent()

private const val EXAMPLE = """## Example

```yaml
defaults: {request_timeout_ms: 30000}
zones:
  zone-a: {drain_lead_s: 90, maintenance: {start: 2027-03-01T22:00:00Z, end: 2027-03-02T04:00:00Z}}
services:
  booking: {path_prefix: /booking, idempotent_methods: [PUT]}
models:
  chat: {ranks: 8, experts: 128, spare_slots: 2}
workspaces:
  acme:
    token_sha256: [0a4d55a8d778e5022fab701977c5d840bbc486d0a2c0e8e5d1d0b1c2d3e4f506]
    models: [chat]
    services: [booking]
    share: 2.0
    per_service: {booking: {request_timeout_ms: 5000}}
```
"""

/** Returns the page as Markdown. */
public fun settingsReference(): String = buildString {
    append(intro)
    append("\n## Inherited values\n\n")
    appendTable(Overrides.getDescriptor())
    SettingsTree.getDescriptor().fields.filter { it.isMapField }.forEach { map ->
        append("## `${map.name}/NAME`\n\n")
        appendNode(valueType(map), "${map.name}/NAME")
    }
    append(checks).append('\n').append(EXAMPLE)
}

private fun StringBuilder.appendNode(type: Descriptor, path: String) {
    if (type.fields.any { specOf(it) != null }) appendTable(type)
    type.fields.filter { it.javaType == FieldDescriptor.JavaType.MESSAGE && !isInlined(it) }.forEach { field ->
        if (field.isMapField) {
            append("`$path/${field.name}/NAME`: inherited values that apply only to this combination.\n\n")
        } else {
            append("`$path/${field.name}`:\n\n")
            appendTable(field.messageType)
        }
    }
}

private fun StringBuilder.appendTable(type: Descriptor) {
    append("| field | description | allowed values | default |\n|---|---|---|---|\n")
    type.fields.mapNotNull { specOf(it) }.forEach { spec ->
        val default = spec.default?.toString() ?: if (spec.required) "required" else "-"
        append("| `${spec.name}` | ${spec.summary} | ${spec.rule.allowed} | $default |\n")
    }
    append('\n')
}
