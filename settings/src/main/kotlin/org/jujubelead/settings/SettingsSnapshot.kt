/** One accepted revision of the settings, with the look-ups that request handling needs. Immutable and thread-safe. */
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

/** Window in which a zone is under maintenance. */
public data class Maintenance(val start: Instant, val end: Instant)

/** The snapshot. [tree] has been validated. */
public class SettingsSnapshot(public val revision: Revision, public val tree: SettingsTree) {
    private val effective = ConcurrentHashMap<SettingsScope, EffectiveSettings>()
    private val workspaceByHash: Map<String, WorkspaceId> by lazy {
        tree.workspacesMap.flatMap { (name, workspace) ->
            workspace.tokenSha256List.map { it to WorkspaceId(name) }
        }.toMap()
    }

    public val workspaces: Set<WorkspaceId> get() = tree.workspacesMap.keys.mapTo(LinkedHashSet(), ::WorkspaceId)

    public val models: Set<ModelId> get() = tree.modelsMap.keys.mapTo(LinkedHashSet(), ::ModelId)

    public val services: Set<ServiceId> get() = tree.servicesMap.keys.mapTo(LinkedHashSet(), ::ServiceId)

    /** Values in force in [scope]. */
    public fun forScope(scope: SettingsScope): EffectiveSettings =
        effective.computeIfAbsent(scope) { tree.effective(it) }

    /** Values for requests of [workspace] to [model] in [zone]. */
    public fun forModel(workspace: WorkspaceId, model: ModelId, zone: ZoneId): EffectiveSettings =
        forScope(SettingsScope(zone = zone, workspace = workspace, model = model))

    /** Values for requests of [workspace] to [service] in [zone]. */
    public fun forService(workspace: WorkspaceId, service: ServiceId, zone: ZoneId): EffectiveSettings =
        forScope(SettingsScope(zone = zone, workspace = workspace, service = service))

    /** Values for [zone] as a whole, such as the drain lead. */
    public fun forZone(zone: ZoneId): EffectiveSettings = forScope(SettingsScope(zone = zone))

    /** The workspace with a bearer token whose SHA-256 is [sha256], in lower-case hexadecimal. */
    public fun workspaceByTokenHash(sha256: String): WorkspaceId? = workspaceByHash[sha256]

    /** The service whose prefix covers [path]; [path] is without the query. */
    public fun serviceByPath(path: String): ServiceId? = tree.servicesMap.entries
        .firstOrNull { (_, service) -> path == service.pathPrefix || path.startsWith(service.pathPrefix + "/") }
        ?.let { ServiceId(it.key) }

    /** Models that [workspace] may use; empty when it does not exist. */
    public fun modelsOf(workspace: WorkspaceId): Set<ModelId> =
        tree.workspacesMap[workspace.value]?.modelsList.orEmpty().mapTo(LinkedHashSet(), ::ModelId)

    /** Plain services that [workspace] may use; empty when it does not exist. */
    public fun servicesOf(workspace: WorkspaceId): Set<ServiceId> =
        tree.workspacesMap[workspace.value]?.servicesList.orEmpty().mapTo(LinkedHashSet(), ::ServiceId)

    public fun model(id: ModelId): ModelSettings? = tree.modelsMap[id.value]

    public fun service(id: ServiceId): ServiceSettings? = tree.servicesMap[id.value]

    /** The maintenance window of [zone]; null when none is set. */
    public fun zoneMaintenance(zone: ZoneId): Maintenance? {
        val window = tree.zonesMap[zone.value]?.takeIf { it.hasMaintenance() }?.maintenance ?: return null
        val start = parseInstant(window.start) ?: return null
        val end = parseInstant(window.end) ?: return null
        return Maintenance(start = start, end = end)
    }
}
