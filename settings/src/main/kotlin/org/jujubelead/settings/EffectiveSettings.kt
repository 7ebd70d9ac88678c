/**
 * Effective values of a node after inheritance.
 *
 * The most specific node that sets a value takes precedence. The order of [SettingsScope.layers], from least to most
 * specific, is: defaults, zone, service or model, workspace, and the service or model nested in the workspace.
 */
package org.jujubelead.settings

import com.google.protobuf.Descriptors.FieldDescriptor
import org.jujubelead.core.ids.ModelId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.SettingsTree

/** Effective values of all fields. Names end with the unit; see docs/settings.md for ranges. */
public data class EffectiveSettings(
    val requestTimeoutMs: Int,
    val maxBodyBytes: Int,
    val maxHeaderBytes: Int,
    val maxInFlight: Int,
    val share: Double,
    val retryBudget: Double,
    val drainLeadS: Int,
    val drainLimitS: Int,
    val keyRetentionS: Int,
    val skewWeight: Double,
    val priority: Int,
    val firstTokenObjectiveMs: Int,
    val tokenGapObjectiveMs: Int,
    val objective: Double,
) {
    public companion object {
        /** Values if no node sets any field. */
        public val DEFAULT: EffectiveSettings by lazy { from(DEFAULT_OVERRIDES) }

        /** Converts overrides in which every field is set. */
        internal fun from(values: Overrides): EffectiveSettings = EffectiveSettings(
            requestTimeoutMs = values.requestTimeoutMs,
            maxBodyBytes = values.maxBodyBytes,
            maxHeaderBytes = values.maxHeaderBytes,
            maxInFlight = values.maxInFlight,
            share = values.share,
            retryBudget = values.retryBudget,
            drainLeadS = values.drainLeadS,
            drainLimitS = values.drainLimitS,
            keyRetentionS = values.keyRetentionS,
            skewWeight = values.skewWeight,
            priority = values.priority,
            firstTokenObjectiveMs = values.firstTokenObjectiveMs,
            tokenGapObjectiveMs = values.tokenGapObjectiveMs,
            objective = values.objective,
        )
    }
}

/** The defaults from the field table. */
internal val DEFAULT_OVERRIDES: Overrides = Overrides.newBuilder().also { builder ->
    Overrides.getDescriptor().fields.forEach { field ->
        builder.setField(field, checkNotNull(specOf(field)?.default) { "${field.name} has no default" })
    }
}.build()

/** Selects the nodes whose values apply. Parts that are not relevant are null. */
public data class SettingsScope(
    val zone: ZoneId? = null,
    val workspace: WorkspaceId? = null,
    val service: ServiceId? = null,
    val model: ModelId? = null,
)

/**
 * Returns the scope of the node at [path], such as `workspaces/acme/per_service/booking`; null if values cannot be
 * set there. [zone] adds the values of a zone.
 */
public fun scopeOf(path: SettingsPath, zone: ZoneId? = null): SettingsScope? {
    val parts = path.segments
    val name = parts.getOrNull(1)
    return when {
        parts.isEmpty() || parts == listOf("defaults") -> SettingsScope(zone = zone)

        name == null -> null

        parts.size == 2 -> when (parts[0]) {
            "zones" -> SettingsScope(zone = ZoneId(name))
            "services" -> SettingsScope(zone = zone, service = ServiceId(name))
            "models" -> SettingsScope(zone = zone, model = ModelId(name))
            "workspaces" -> SettingsScope(zone = zone, workspace = WorkspaceId(name))
            else -> null
        }

        parts.size == NESTED_NODE_DEPTH && parts[0] == "workspaces" -> when (parts[2]) {
            "per_service" -> SettingsScope(zone, WorkspaceId(name), service = ServiceId(parts.last()))
            "per_model" -> SettingsScope(zone, WorkspaceId(name), model = ModelId(parts.last()))
            else -> null
        }

        else -> null
    }
}

/** Number of path segments of a node nested in a workspace. */
private const val NESTED_NODE_DEPTH = 4

/** A node that sets values. */
public class SettingsLayer(public val path: SettingsPath, public val values: Overrides)

/** Returns the nodes of [tree] that apply to this scope, least specific first. Missing nodes are omitted. */
public fun SettingsScope.layers(tree: SettingsTree): List<SettingsLayer> = buildList {
    fun addLayer(path: SettingsPath, values: Overrides?) {
        if (values != null) add(SettingsLayer(path, values))
    }

    val settings = workspace?.let { tree.workspacesMap[it.value] }
    val workspacePath = SettingsPath("workspaces") / (workspace?.value ?: "")
    addLayer(SettingsPath("defaults"), tree.defaults)
    zone?.let { addLayer(SettingsPath("zones") / it.value, tree.zonesMap[it.value]?.overrides) }
    service?.let { addLayer(SettingsPath("services") / it.value, tree.servicesMap[it.value]?.overrides) }
    model?.let { addLayer(SettingsPath("models") / it.value, tree.modelsMap[it.value]?.overrides) }
    addLayer(workspacePath, settings?.overrides)
    service?.let { addLayer(workspacePath / "per_service" / it.value, settings?.perServiceMap?.get(it.value)) }
    model?.let { addLayer(workspacePath / "per_model" / it.value, settings?.perModelMap?.get(it.value)) }
}

/** An effective value and the node that sets it; [origin] is null for the built-in default. */
public data class EffectiveValue(val spec: FieldSpec, val value: Any, val origin: SettingsPath?)

/** Returns the effective values in [scope]. */
public fun SettingsTree.effective(scope: SettingsScope): EffectiveSettings {
    val merged = DEFAULT_OVERRIDES.toBuilder()
    scope.layers(this).forEach { merged.mergeFrom(it.values) }
    return EffectiveSettings.from(merged.build())
}

/** Returns the effective values in [scope], each with the node that sets it. */
public fun SettingsTree.effectiveWithOrigin(scope: SettingsScope): List<EffectiveValue> {
    val layers = scope.layers(this).asReversed()
    return Overrides.getDescriptor().fields.map { field -> layers.valueOf(field) }
}

private fun List<SettingsLayer>.valueOf(field: FieldDescriptor): EffectiveValue {
    val layer = firstOrNull { it.values.hasField(field) }
    val value = (layer?.values ?: DEFAULT_OVERRIDES).getField(field)
    return EffectiveValue(spec = checkNotNull(specOf(field)), value = value, origin = layer?.path)
}
