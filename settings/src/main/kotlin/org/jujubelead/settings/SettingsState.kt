/** An accepted revision as a process holds it, and the notices by which it is passed on. Pure. */
package org.jujubelead.settings

import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.BranchRef
import org.jujubelead.protocol.SettingsNotice
import org.jujubelead.protocol.SettingsRoot
import org.jujubelead.protocol.SettingsTree

/** The revision, its branches by name, and its tree. */
public class SettingsState(
    public val branches: Map<String, BranchRef>,
    public val snapshot: SettingsSnapshot,
) {
    public val revision: Revision get() = snapshot.revision
}

/** A revision that is known by its branches, before all of them are there. */
internal class Announced(val revision: Revision, val branches: Map<String, BranchRef>) {
    constructor(root: SettingsRoot) : this(Revision(root.revision), root.branchesMap)

    /** Branches whose content differs from [held]. */
    fun missing(held: SettingsState?): List<BranchRef> =
        branches.filter { (name, ref) -> held?.branches?.get(name)?.sha256 != ref.sha256 }.values.toList()

    /** Puts the revision together from [held] and the [fetched] branches, which must be all that are missing. */
    fun assemble(held: SettingsState?, fetched: Collection<SettingsTree>): SettingsState {
        val kept = branches.filter { (name, ref) -> held?.branches?.get(name)?.sha256 == ref.sha256 }.keys
        val old = held?.let { branchesOf(it.snapshot.tree, kept).values }.orEmpty()
        return SettingsState(branches, SettingsSnapshot(revision, joinBranches(old + fetched)))
    }
}

/** Tells a process that has nothing in common with [state] about all its branches. */
internal fun fullNotice(state: SettingsState): SettingsNotice =
    SettingsNotice.newBuilder().setRevision(state.revision.value).putAllBranches(state.branches).build()

/** Tells a process that holds [base] about [state], with the nodes that changed. */
internal fun changeNotice(base: SettingsState, state: SettingsState): SettingsNotice {
    val notice = SettingsNotice.newBuilder().setRevision(state.revision.value).setBaseRevision(base.revision.value)
    (base.branches.keys + state.branches.keys).filter { base.branches[it] != state.branches[it] }.forEach {
        notice.putBranches(it, state.branches[it] ?: BranchRef.getDefaultInstance())
    }
    val before = base.snapshot.tree
    val after = state.snapshot.tree
    val changed = notice.changedBuilder
    if (before.defaults != after.defaults ||
        before.hasDefaults() != after.hasDefaults()
    ) {
        changed.defaults = after.defaults
    }
    changed.putAllZones(changedEntries(before.zonesMap, after.zonesMap))
    changed.putAllWorkspaces(changedEntries(before.workspacesMap, after.workspacesMap))
    changed.putAllServices(changedEntries(before.servicesMap, after.servicesMap))
    changed.putAllModels(changedEntries(before.modelsMap, after.modelsMap))
    notice.addAllRemoved(nodePaths(before) - nodePaths(after))
    return notice.build()
}

private fun <V> changedEntries(before: Map<String, V>, after: Map<String, V>): Map<String, V> =
    after.filter { (name, value) -> before[name] != value }

private const val ZONES = "zones"
private const val WORKSPACES = "workspaces"
private const val SERVICES = "services"
private const val MODELS = "models"

private fun nodePaths(tree: SettingsTree): Set<String> = buildSet {
    tree.zonesMap.keys.forEach { add("$ZONES/$it") }
    tree.workspacesMap.keys.forEach { add("$WORKSPACES/$it") }
    tree.servicesMap.keys.forEach { add("$SERVICES/$it") }
    tree.modelsMap.keys.forEach { add("$MODELS/$it") }
}

/** Applies a change to its base; null when the result does not have the hashes that the notice gives. */
internal fun applyChange(base: SettingsState, notice: SettingsNotice): SettingsState? {
    val tree = base.snapshot.tree.toBuilder()
    if (notice.changed.hasDefaults()) tree.defaults = notice.changed.defaults
    tree.putAllZones(notice.changed.zonesMap).putAllWorkspaces(notice.changed.workspacesMap)
        .putAllServices(notice.changed.servicesMap).putAllModels(notice.changed.modelsMap)
    notice.removedList.forEach { path ->
        val name = path.substringAfter('/')
        when (path.substringBefore('/')) {
            ZONES -> tree.removeZones(name)
            WORKSPACES -> tree.removeWorkspaces(name)
            SERVICES -> tree.removeServices(name)
            MODELS -> tree.removeModels(name)
        }
    }
    val result = tree.build()
    val (gone, changed) = notice.branchesMap.entries.partition { it.value.sha256.isEmpty }
    val parts = branchesOf(result, notice.branchesMap.keys)
    val matches = changed.all { (name, ref) -> parts[name]?.let { sha256(it.canonicalBytes()) } == ref.sha256 } &&
        gone.none { it.key in parts }
    if (!matches) return null
    val branches = base.branches + changed.associate { it.key to it.value } - gone.mapTo(HashSet()) { it.key }
    return SettingsState(branches, SettingsSnapshot(Revision(notice.revision), result))
}
