/** An accepted revision of the settings with lookups for request handling. Immutable and thread-safe. */
package org.jujubelead.settings

import org.jujubelead.core.ids.ModelId
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.protocol.ModelSettings
import org.jujubelead.protocol.ServiceSettings
import org.jujubelead.protocol.SettingsTree
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap

/** Maintenance window of a zone. */
public data class Maintenance(val start: Instant, val end: Instant)

/** A snapshot; [tree] must be valid. */
public class SettingsSnapshot(public val revision: Revision, public val tree: SettingsTree) {
    private val effective = ConcurrentHashMap<SettingsScope, EffectiveSettings>()
    private val workspacesByTokenHash: Map<String, WorkspaceId> by lazy {
        tree.workspacesMap.flatMap { (name, workspace) ->
            workspace.tokenSha256List.map { it to WorkspaceId(name) }
        }.toMap()
    }

    public val workspaces: Set<WorkspaceId> get() = tree.workspacesMap.keys.mapTo(LinkedHashSet(), ::WorkspaceId)

    public val models: Set<ModelId> get() = tree.modelsMap.keys.mapTo(LinkedHashSet(), ::ModelId)

    public val services: Set<ServiceId> get() = tree.servicesMap.keys.mapTo(LinkedHashSet(), ::ServiceId)

    /** Returns the effective values in [scope]. */
    public fun forScope(scope: SettingsScope): EffectiveSettings =
        effective.computeIfAbsent(scope) { tree.effective(it) }

    /** Returns the effective values for requests of [workspace] to [model] in [zone]. */
    public fun forModel(workspace: WorkspaceId, model: ModelId, zone: ZoneId): EffectiveSettings =
        forScope(SettingsScope(zone = zone, workspace = workspace, model = model))

    /** Returns the effective values for requests of [workspace] to [service] in [zone]. */
    public fun forService(workspace: WorkspaceId, service: ServiceId, zone: ZoneId): EffectiveSettings =
        forScope(SettingsScope(zone = zone, workspace = workspace, service = service))

    /** Returns the effective values for [zone] itself, such as the drain lead. */
    public fun forZone(zone: ZoneId): EffectiveSettings = forScope(SettingsScope(zone = zone))

    /** Finds the workspace of a bearer token by its SHA-256 in lower-case hexadecimal. */
    public fun workspaceByTokenHash(sha256: String): WorkspaceId? = workspacesByTokenHash[sha256]

    /** Finds the service whose path prefix covers [path], which must not include the query string. */
    public fun serviceByPath(path: String): ServiceId? = tree.servicesMap.entries
        .firstOrNull { (_, service) -> path == service.pathPrefix || path.startsWith(service.pathPrefix + "/") }
        ?.let { ServiceId(it.key) }

    /** Returns the models that [workspace] may use; empty if the workspace does not exist. */
    public fun modelsOf(workspace: WorkspaceId): Set<ModelId> =
        tree.workspacesMap[workspace.value]?.modelsList.orEmpty().mapTo(LinkedHashSet(), ::ModelId)

    /** Returns the plain services that [workspace] may use; empty if the workspace does not exist. */
    public fun servicesOf(workspace: WorkspaceId): Set<ServiceId> =
        tree.workspacesMap[workspace.value]?.servicesList.orEmpty().mapTo(LinkedHashSet(), ::ServiceId)

    public fun model(id: ModelId): ModelSettings? = tree.modelsMap[id.value]

    public fun service(id: ServiceId): ServiceSettings? = tree.servicesMap[id.value]

    /** Returns the maintenance window of [zone]; null if none is set. */
    public fun zoneMaintenance(zone: ZoneId): Maintenance? {
        val window = tree.zonesMap[zone.value]?.takeIf { it.hasMaintenance() }?.maintenance ?: return null
        val start = parseInstant(window.start) ?: return null
        val end = parseInstant(window.end) ?: return null
        return Maintenance(start = start, end = end)
    }
}
