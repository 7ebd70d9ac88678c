/** The settings state of a process, and the notices that announce it to other processes. Free of side effects. */
package org.jujubelead.settings

import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.BranchRef
import org.jujubelead.protocol.SettingsNotice
import org.jujubelead.protocol.SettingsRoot
import org.jujubelead.protocol.SettingsTree

/** An accepted revision with references to its branches by name, and its tree. */
public class SettingsState(
    public val branches: Map<String, BranchRef>,
    public val snapshot: SettingsSnapshot,
) {
    public val revision: Revision get() = snapshot.revision
}

/** References to all branches of a revision, whose contents may not have been fetched yet. */
internal class RevisionManifest(val revision: Revision, val branches: Map<String, BranchRef>) {
    constructor(root: SettingsRoot) : this(Revision(root.revision), root.branchesMap)

    /** Returns the branches whose content is not in [local]. */
    fun missingFrom(local: SettingsState?): List<BranchRef> =
        branches.filter { (name, ref) -> local?.branches?.get(name)?.sha256 != ref.sha256 }.values.toList()

    /** Builds the state from the unchanged branches of [local] and [fetched], which must be [missingFrom] of it. */
    fun assemble(local: SettingsState?, fetched: Collection<SettingsTree>): SettingsState {
        val unchanged = branches.filter { (name, ref) -> local?.branches?.get(name)?.sha256 == ref.sha256 }.keys
        val reused = local?.let { branchesOf(it.snapshot.tree, unchanged).values }.orEmpty()
        return SettingsState(branches, SettingsSnapshot(revision, joinBranches(reused + fetched)))
    }
}

/** Returns a notice that lists all branches of [state]. */
internal fun fullNotice(state: SettingsState): SettingsNotice =
    SettingsNotice.newBuilder().setRevision(state.revision.value).putAllBranches(state.branches).build()

/** Returns a notice for a process at [base] that contains only the nodes that differ in [state]. */
internal fun deltaNotice(base: SettingsState, state: SettingsState): SettingsNotice {
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

/** Applies a delta to its base; returns null if the result does not match the hashes in the notice. */
internal fun applyDelta(base: SettingsState, notice: SettingsNotice): SettingsState? {
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
    val (removed, changed) = notice.branchesMap.entries.partition { it.value.sha256.isEmpty }
    val rebuilt = branchesOf(result, notice.branchesMap.keys)
    val matches = changed.all { (name, ref) -> rebuilt[name]?.let { sha256(it.canonicalBytes()) } == ref.sha256 } &&
        removed.none { it.key in rebuilt }
    if (!matches) return null
    val branches = base.branches + changed.associate { it.key to it.value } - removed.mapTo(HashSet()) { it.key }
    return SettingsState(branches, SettingsSnapshot(Revision(notice.revision), result))
}
