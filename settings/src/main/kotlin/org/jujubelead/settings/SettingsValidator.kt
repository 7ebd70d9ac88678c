/**
 * Validates a whole tree: required fields, references, path prefixes, maintenance windows, tokens, and the effective
 * values of every node.
 *
 * The parser checks the ranges of individual fields. Merging valid trees can produce an invalid one, so this validation
 * also runs before a merged tree is accepted.
 */
package org.jujubelead.settings

import org.jujubelead.core.ids.ModelId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.SettingsTree

public object SettingsValidator {
    /** Returns all errors in [tree]. [position] maps a path to its position in the file. */
    public fun validate(
        tree: SettingsTree,
        position: (SettingsPath) -> SourcePosition = { SourcePosition(file = "settings", line = 0) },
    ): List<ValidationError> = Validation(tree, position).run()
}

private const val MILLIS_PER_SECOND = 1_000L

private class Validation(val tree: SettingsTree, val position: (SettingsPath) -> SourcePosition) {
    private val errors = ArrayList<ValidationError>()

    fun run(): List<ValidationError> {
        checkZones()
        checkServices()
        checkWorkspaces()
        checkTokens()
        checkEffectiveValues()
        return errors
    }

    private fun addError(path: SettingsPath, found: String, allowed: String) {
        errors += ValidationError(position = position(path), path = path, found = found, allowed = allowed)
    }

    private fun checkZones() = tree.zonesMap.forEach { (name, zone) ->
        if (!zone.hasMaintenance()) return@forEach
        val path = SettingsPath("zones") / name / "maintenance"
        val start = parseInstant(zone.maintenance.start)
        val end = parseInstant(zone.maintenance.end)
        if (start == null) addError(path / "start", "\"${zone.maintenance.start}\"", FieldRule.Instant.allowed)
        if (end == null) addError(path / "end", "\"${zone.maintenance.end}\"", FieldRule.Instant.allowed)
        if (start != null && end != null && start >= end) {
            addError(
                path / "end",
                "\"${zone.maintenance.end}\"",
                "an instant later than the start, ${zone.maintenance.start}",
            )
        }
    }

    private fun checkServices() {
        tree.servicesMap.filterValues { it.pathPrefix.isEmpty() }.keys.forEach { name ->
            addError(SettingsPath("services") / name / "path_prefix", "no value", "a path such as /booking")
        }
        val sorted = tree.servicesMap.entries.filter { it.value.pathPrefix.isNotEmpty() }
            .sortedWith(compareBy({ it.value.pathPrefix + "/" }, { it.key }))
        // In this order, a prefix directly precedes all prefixes that it covers.
        var covering: Map.Entry<String, *>? = null
        var coveringPrefix = ""
        sorted.forEach { entry ->
            val prefix = entry.value.pathPrefix
            if (covering != null && "$prefix/".startsWith("$coveringPrefix/")) {
                val path = SettingsPath("services") / entry.key / "path_prefix"
                addError(
                    path,
                    "\"$prefix\"",
                    "a prefix that does not overlap $coveringPrefix of service ${covering?.key}",
                )
            } else {
                covering = entry
                coveringPrefix = prefix
            }
        }
        reservedPrefixes.forEach { prefix ->
            sorted.filter { "${it.value.pathPrefix}/".startsWith("$prefix/") }.forEach {
                val path = SettingsPath("services") / it.key / "path_prefix"
                addError(
                    path,
                    "\"${it.value.pathPrefix}\"",
                    "a prefix outside $prefix, which the load balancer serves itself",
                )
            }
        }
    }

    private fun checkWorkspaces() = tree.workspacesMap.forEach { (name, workspace) ->
        val path = SettingsPath("workspaces") / name
        checkNames(path / "models", workspace.modelsList, tree.modelsMap.keys, "model")
        checkNames(path / "services", workspace.servicesList, tree.servicesMap.keys, "service")
        workspace.perModelMap.keys.forEach {
            checkNames(path / "per_model" / it, listOf(it), workspace.modelsList, "model of the workspace")
        }
        workspace.perServiceMap.keys.forEach {
            checkNames(path / "per_service" / it, listOf(it), workspace.servicesList, "service of the workspace")
        }
    }

    private fun checkNames(path: SettingsPath, names: List<String>, known: Collection<String>, kind: String) =
        names.filter { it !in known }.forEach { name ->
            val suggestion = closestMatch(name, known)?.let { "; did you mean \"$it\"?" }.orEmpty()
            val list = known.sorted().take(MAX_LISTED_NAMES).joinToString(", ").ifEmpty { "none defined" }
            addError(path, "\"$name\"", "the name of a $kind ($list)$suggestion")
        }

    private fun checkTokens() {
        val owners = HashMap<String, String>()
        tree.workspacesMap.toSortedMap().forEach { (name, workspace) ->
            workspace.tokenSha256List.forEach { hash ->
                val owner = owners.putIfAbsent(hash, name)
                if (owner != null && owner != name) {
                    val path = SettingsPath("workspaces") / name / "token_sha256"
                    addError(path, "\"$hash\"", "a token of one workspace only; workspace $owner has it")
                }
            }
        }
    }

    /** Values that are valid individually can contradict each other after inheritance. */
    private fun checkEffectiveValues() {
        val reported = HashSet<Pair<SettingsPath, String>>()
        scopes().forEach { scope ->
            val values = tree.effective(scope)
            constraints.filter { !it.holds(values) }.forEach { constraint ->
                val relatedValues = tree.effectiveWithOrigin(scope).filter { it.spec.name in constraint.fields }
                val path = (
                    relatedValues.mapNotNull {
                        it.origin
                    }.maxByOrNull { it.segments.size } ?: SettingsPath("defaults")
                    )
                if (reported.add(path to constraint.allowed)) {
                    val found = relatedValues.joinToString(", ") {
                        "${it.spec.name} ${it.value} from ${it.origin ?: "the built-in default"}"
                    }
                    addError(path, "$found (effective values for ${scope.describe()})", constraint.allowed)
                }
            }
        }
    }

    /** Returns every scope that request handling uses. Zones without overrides do not need a scope of their own. */
    private fun scopes(): Sequence<SettingsScope> = sequence {
        val zones = tree.zonesMap.filterValues { it.hasOverrides() && it.overrides != Overrides.getDefaultInstance() }
        val choices = listOf<ZoneId?>(null) + zones.keys.map(::ZoneId)
        choices.forEach { zone ->
            yield(SettingsScope(zone = zone))
            tree.servicesMap.keys.forEach { yield(SettingsScope(zone = zone, service = ServiceId(it))) }
            tree.modelsMap.keys.forEach { yield(SettingsScope(zone = zone, model = ModelId(it))) }
            tree.workspacesMap.forEach { (name, workspace) ->
                val id = WorkspaceId(name)
                yield(SettingsScope(zone = zone, workspace = id))
                workspace.servicesList.forEach { yield(SettingsScope(zone, id, service = ServiceId(it))) }
                workspace.modelsList.forEach { yield(SettingsScope(zone, id, model = ModelId(it))) }
            }
        }
    }

    private fun SettingsScope.describe(): String = listOfNotNull(
        zone?.let { "zone $it" },
        workspace?.let { "workspace $it" },
        service?.let { "service $it" },
        model?.let { "model $it" },
    ).joinToString(", ").ifEmpty { "the deployment" }

    private companion object {
        /** Path prefixes served by the load balancer itself. */
        val reservedPrefixes = listOf("/v1", "/metrics", "/healthz", "/readyz")

        /** Maximum number of names in an error message; a deployment can have thousands. */
        const val MAX_LISTED_NAMES = 12
    }
}

/** A constraint between effective values. */
private class Constraint(val fields: Set<String>, val allowed: String, val holds: (EffectiveSettings) -> Boolean)

private val constraints: List<Constraint> = listOf(
    Constraint(
        setOf("key_retention_s", "request_timeout_ms"),
        "key_retention_s at least as long as request_timeout_ms",
    ) {
        it.keyRetentionS * MILLIS_PER_SECOND >= it.requestTimeoutMs
    },
    Constraint(
        setOf("first_token_objective_ms", "request_timeout_ms"),
        "first_token_objective_ms at most request_timeout_ms",
    ) { it.firstTokenObjectiveMs <= it.requestTimeoutMs },
    Constraint(
        setOf("token_gap_objective_ms", "request_timeout_ms"),
        "token_gap_objective_ms at most request_timeout_ms",
    ) {
        it.tokenGapObjectiveMs <= it.requestTimeoutMs
    },
)
