/**
 * Checks of a whole tree: required fields, references, prefixes, windows, and the effective values of every node.
 *
 * Ranges of single fields are checked by the parser. A merge of valid trees can break the checks here, so they run
 * again before acceptance.
 */
package org.jujubelead.settings

import org.jujubelead.core.ids.ModelId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.SettingsTree

/** The checks. */
public object SettingsValidator {
    /** Returns all faults of [tree]; [position] finds the place of a path in the file. */
    public fun validate(
        tree: SettingsTree,
        position: (SettingsPath) -> SourcePosition = { SourcePosition(file = "settings", line = 0) },
    ): List<SettingsFault> = Validation(tree, position).run()
}

private const val MILLIS_PER_SECOND = 1_000L

private class Validation(val tree: SettingsTree, val position: (SettingsPath) -> SourcePosition) {
    private val faults = ArrayList<SettingsFault>()

    fun run(): List<SettingsFault> {
        checkZones()
        checkServices()
        checkWorkspaces()
        checkTokens()
        checkEffectiveValues()
        return faults
    }

    private fun fault(path: SettingsPath, found: String, allowed: String) {
        faults += SettingsFault(position = position(path), path = path, found = found, allowed = allowed)
    }

    private fun checkZones() = tree.zonesMap.forEach { (name, zone) ->
        if (!zone.hasMaintenance()) return@forEach
        val path = SettingsPath("zones") / name / "maintenance"
        val start = parseInstant(zone.maintenance.start)
        val end = parseInstant(zone.maintenance.end)
        if (start == null) fault(path / "start", "\"${zone.maintenance.start}\"", FieldRule.Instant.allowed)
        if (end == null) fault(path / "end", "\"${zone.maintenance.end}\"", FieldRule.Instant.allowed)
        if (start != null && end != null && start >= end) {
            fault(path / "end", "\"${zone.maintenance.end}\"", "an instant after the start, ${zone.maintenance.start}")
        }
    }

    private fun checkServices() {
        tree.servicesMap.filterValues { it.pathPrefix.isEmpty() }.keys.forEach { name ->
            fault(SettingsPath("services") / name / "path_prefix", "nothing", "a path such as /booking")
        }
        val sorted = tree.servicesMap.entries.filter { it.value.pathPrefix.isNotEmpty() }
            .sortedWith(compareBy({ it.value.pathPrefix + "/" }, { it.key }))
        // In this order a prefix stands directly before all the prefixes that it covers.
        var cover: Map.Entry<String, *>? = null
        var coverPrefix = ""
        sorted.forEach { entry ->
            val prefix = entry.value.pathPrefix
            if (cover != null && "$prefix/".startsWith("$coverPrefix/")) {
                val path = SettingsPath("services") / entry.key / "path_prefix"
                fault(path, "\"$prefix\"", "a prefix that does not overlap $coverPrefix of service ${cover?.key}")
            } else {
                cover = entry
                coverPrefix = prefix
            }
        }
        reserved.forEach { prefix ->
            sorted.filter { "${it.value.pathPrefix}/".startsWith("$prefix/") }.forEach {
                val path = SettingsPath("services") / it.key / "path_prefix"
                fault(
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
            val near = nearest(name, known)?.let { "; did you mean \"$it\"?" }.orEmpty()
            val list = known.sorted().take(SHOWN_NAMES).joinToString(", ").ifEmpty { "there is none" }
            fault(path, "\"$name\"", "the name of a $kind ($list)$near")
        }

    private fun checkTokens() {
        val owners = HashMap<String, String>()
        tree.workspacesMap.toSortedMap().forEach { (name, workspace) ->
            workspace.tokenSha256List.forEach { hash ->
                val owner = owners.putIfAbsent(hash, name)
                if (owner != null && owner != name) {
                    val path = SettingsPath("workspaces") / name / "token_sha256"
                    fault(path, "\"$hash\"", "a token of one workspace only; workspace $owner has it")
                }
            }
        }
    }

    /** Values that are valid alone can contradict each other once they are inherited. */
    private fun checkEffectiveValues() {
        val reported = HashSet<Pair<SettingsPath, String>>()
        scopes().forEach { scope ->
            val values = tree.effective(scope)
            relations.filter { !it.holds(values) }.forEach { relation ->
                val origin = tree.effectiveWithOrigin(scope).filter { it.spec.name in relation.fields }
                val path = (
                    origin.mapNotNull {
                        it.origin
                    }.maxByOrNull { it.segments.size } ?: SettingsPath("defaults")
                    )
                if (reported.add(path to relation.allowed)) {
                    val found = origin.joinToString(", ") {
                        "${it.spec.name} ${it.value} from ${it.origin ?: "the built-in default"}"
                    }
                    fault(path, "$found (in force for ${scope.describe()})", relation.allowed)
                }
            }
        }
    }

    /** Every place that request handling asks for. Zones without values of their own are like no zone. */
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
        /** Paths of the caller interface. */
        val reserved = listOf("/v1", "/metrics", "/healthz", "/readyz")

        /** Names listed in a message; a deployment can have thousands. */
        const val SHOWN_NAMES = 12
    }
}

/** A rule between effective values. */
private class Relation(val fields: Set<String>, val allowed: String, val holds: (EffectiveSettings) -> Boolean)

private val relations: List<Relation> = listOf(
    Relation(setOf("key_retention_s", "request_timeout_ms"), "key_retention_s at least as long as request_timeout_ms") {
        it.keyRetentionS * MILLIS_PER_SECOND >= it.requestTimeoutMs
    },
    Relation(
        setOf("first_token_objective_ms", "request_timeout_ms"),
        "first_token_objective_ms at most request_timeout_ms",
    ) { it.firstTokenObjectiveMs <= it.requestTimeoutMs },
    Relation(
        setOf("token_gap_objective_ms", "request_timeout_ms"),
        "token_gap_objective_ms at most request_timeout_ms",
    ) {
        it.tokenGapObjectiveMs <= it.requestTimeoutMs
    },
)
