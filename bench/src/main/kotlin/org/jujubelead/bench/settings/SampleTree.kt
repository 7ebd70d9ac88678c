/** Sample settings trees for the experiments. */
package org.jujubelead.bench.settings

import org.jujubelead.protocol.ModelSettings
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.ServiceSettings
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.protocol.WorkspaceSettings
import org.jujubelead.protocol.ZoneSettings
import kotlin.random.Random

private const val MODELS = 10
private const val SERVICES = 10
private const val ZONES = 12
private const val TOKENS = 4
private const val TOKEN_DIGITS = 64
private const val RANKS = 128
private const val MAX_SHARE = 10.0
private const val MAX_IN_FLIGHT = 500
private const val HEX_DIGITS = "0123456789abcdef"

/** Returns a tree of [workspaces] workspaces, each with four tokens, all models, two services and some overrides. */
internal fun sampleTree(workspaces: Int, seed: Long): SettingsTree {
    val random = Random(seed)
    val names = (0 until MODELS).map { "model-$it" }
    val tree = SettingsTree.newBuilder()
    repeat(ZONES) { tree.putZones("zone-$it", ZoneSettings.getDefaultInstance()) }
    names.forEach { tree.putModels(it, ModelSettings.newBuilder().setRanks(RANKS).build()) }
    repeat(SERVICES) {
        tree.putServices("service-$it", ServiceSettings.newBuilder().setPathPrefix("/service-$it").build())
    }
    repeat(workspaces) { i ->
        val workspace = WorkspaceSettings.newBuilder().addAllModels(names)
            .addAllServices(listOf("service-${i % SERVICES}", "service-${(i + 1) % SERVICES}"))
            .setOverrides(
                Overrides.newBuilder().setShare(random.nextDouble(1.0, MAX_SHARE)).setMaxInFlight(MAX_IN_FLIGHT),
            )
            .putPerModel(names[i % MODELS], Overrides.newBuilder().setPriority(i % MODELS).build())
        repeat(TOKENS) { workspace.addTokenSha256(randomHash(random)) }
        tree.putWorkspaces("workspace-%04d".format(i), workspace.build())
    }
    return tree.build()
}

private fun randomHash(random: Random): String =
    buildString { repeat(TOKEN_DIGITS) { append(HEX_DIGITS[random.nextInt(HEX_DIGITS.length)]) } }

/** Returns a copy of the tree in which one workspace has another share. */
internal fun SettingsTree.withShare(workspace: Int, share: Double): SettingsTree {
    val name = "workspace-%04d".format(workspace)
    val changed = getWorkspacesOrThrow(name).toBuilder().apply { overridesBuilder.share = share }.build()
    return toBuilder().putWorkspaces(name, changed).build()
}
