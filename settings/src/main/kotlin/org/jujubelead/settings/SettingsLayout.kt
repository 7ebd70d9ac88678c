/**
 * Splits a tree into branches for storage and distribution.
 *
 * The defaults, all zones, all services and all models are one branch each. Workspaces are assigned to
 * [WORKSPACE_BUCKETS] branches by the hash of their name. A branch is a partial [SettingsTree]; merging all branches
 * yields the tree.
 */
package org.jujubelead.settings

import com.google.protobuf.ByteString
import com.google.protobuf.CodedOutputStream
import com.google.protobuf.MessageLite
import org.jujubelead.protocol.BranchRef
import org.jujubelead.protocol.SettingsTree
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Number of workspace buckets. For each change, a relay reads the root record (about 45 bytes per bucket) and one
 * bucket. With 3,400 workspaces of about 500 bytes, the total is smallest near 200 buckets.
 */
internal const val WORKSPACE_BUCKETS: Int = 256

private const val HASH_SHIFT = 16

/** Returns the name of the branch that contains [workspace]. */
internal fun bucketOf(workspace: String): String {
    val hash = workspace.hashCode()
    return bucketNames[(hash xor (hash ushr HASH_SHIFT)) and (WORKSPACE_BUCKETS - 1)]
}

private val bucketNames: List<String> = List(WORKSPACE_BUCKETS) { "w/%02x".format(it) }

private const val DEFAULTS_BRANCH = "defaults"
private const val ZONES_BRANCH = "zones"
private const val SERVICES_BRANCH = "services"
private const val MODELS_BRANCH = "models"

/** Splits a tree into its branches; empty branches are omitted. */
internal fun branchesOf(tree: SettingsTree): Map<String, SettingsTree> = buildMap {
    fun add(name: String, build: SettingsTree.Builder.() -> Unit) {
        val branch = SettingsTree.newBuilder().apply(build).build()
        if (branch != SettingsTree.getDefaultInstance()) put(name, branch)
    }
    add(DEFAULTS_BRANCH) { if (tree.hasDefaults()) defaults = tree.defaults }
    add(ZONES_BRANCH) { putAllZones(tree.zonesMap) }
    add(SERVICES_BRANCH) { putAllServices(tree.servicesMap) }
    add(MODELS_BRANCH) { putAllModels(tree.modelsMap) }
    tree.workspacesMap.entries.groupBy { bucketOf(it.key) }.forEach { (bucket, entries) ->
        add(bucket) { entries.forEach { putWorkspaces(it.key, it.value) } }
    }
}

/** Returns only the branches in [names]; empty branches are omitted. */
internal fun branchesOf(tree: SettingsTree, names: Set<String>): Map<String, SettingsTree> {
    val part = SettingsTree.newBuilder()
    if (DEFAULTS_BRANCH in names && tree.hasDefaults()) part.defaults = tree.defaults
    if (ZONES_BRANCH in names) part.putAllZones(tree.zonesMap)
    if (SERVICES_BRANCH in names) part.putAllServices(tree.servicesMap)
    if (MODELS_BRANCH in names) part.putAllModels(tree.modelsMap)
    if (names.any { it.startsWith("w/") }) {
        tree.workspacesMap.forEach { (name, workspace) ->
            if (bucketOf(name) in
                names
            ) {
                part.putWorkspaces(name, workspace)
            }
        }
    }
    return branchesOf(part.build())
}

internal fun joinBranches(branches: Collection<SettingsTree>): SettingsTree =
    SettingsTree.newBuilder().also { tree -> branches.forEach { tree.mergeFrom(it) } }.build()

/** Serializes with sorted map entries, so that equal messages have equal bytes. */
internal fun MessageLite.canonicalBytes(): ByteArray {
    val out = ByteArrayOutputStream(serializedSize)
    CodedOutputStream.newInstance(out).apply {
        useDeterministicSerialization()
        writeTo(this)
        flush()
    }
    return out.toByteArray()
}

internal fun sha256(bytes: ByteArray): ByteString = ByteString.copyFrom(
    MessageDigest.getInstance("SHA-256").digest(bytes),
)

internal fun ByteString.hex(): String = HexFormat.of().formatHex(toByteArray())

/** Id of a branch in requests between processes and, after [BRANCH_PREFIX], in key-value keys. */
internal val BranchRef.id: String get() = "${sha256.hex()}-$revision"

internal const val ROOT_KEY: String = "settings/root"
internal const val BRANCH_PREFIX: String = "settings/branch/"
internal const val HISTORY_PREFIX: String = "settings/history/"

/** Revisions in keys are zero-padded to this length, so that keys sort by revision. */
private const val REVISION_DIGITS = 12

internal fun historyKey(revision: Long): String = HISTORY_PREFIX + revision.toString().padStart(REVISION_DIGITS, '0')
