package org.jujubelead.settings

import com.github.michaelbull.result.getOrElse
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.SettingsTree
import java.time.Instant

internal val SAMPLE = """
    defaults: {request_timeout_ms: 30000}
    zones:
      zone-a: {drain_lead_s: 90, maintenance: {start: 2027-03-01T22:00:00Z, end: 2027-03-02T04:00:00Z}}
      zone-b:
    services:
      booking: {path_prefix: /booking, idempotent_methods: [PUT], request_timeout_ms: 8000}
      lookup: {path_prefix: /lookup}
    models:
      chat: {ranks: 8, experts: 128, max_in_flight: 50}
    workspaces:
      acme:
        token_sha256: [${"a".repeat(64)}]
        models: [chat]
        services: [booking, lookup]
        share: 2.5
        per_service: {booking: {request_timeout_ms: 5000}}
      small: {models: [chat]}
""".trimIndent()

internal fun tree(yaml: String = SAMPLE): SettingsTree =
    SettingsParser.parse(yaml, "test.yaml").getOrElse { error(it.joinToString("\n")) }

internal fun edit(operation: String, base: Long?, tree: SettingsTree): SettingsEdit = SettingsEdit(
    operation = OperationId(operation),
    author = "operator",
    summary = operation,
    at = Instant.EPOCH,
    base = base?.let(::Revision),
    tree = tree,
)
