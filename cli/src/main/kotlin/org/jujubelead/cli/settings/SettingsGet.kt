/** `settings get [PATH]`: prints accepted settings, or the effective values of a node and where they are set. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.ExitCode
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.settings.FieldValue
import org.jujubelead.settings.SettingsPath
import org.jujubelead.settings.SettingsStore
import org.jujubelead.settings.SettingsYaml
import org.jujubelead.settings.effectiveWithOrigin
import org.jujubelead.settings.flatten
import org.jujubelead.settings.scopeOf
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.PrintStream

public class SettingsGet(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : StoreCommand(out, err, connect) {
    public constructor() : this(System.out, System.err)

    @Argument(metaVar = "PATH", usage = "node or field, such as workspaces/acme; default: the whole tree, as YAML")
    private var path: String = ""

    @Option(name = "--effective", usage = "print the effective values of the node, each with the node that sets it")
    private var effective: Boolean = false

    @Option(name = "--zone", metaVar = "ZONE", depends = ["--effective"], usage = "include the values of this zone")
    private var zone: String? = null

    @Option(name = "--revision", metaVar = "N", usage = "revision to read; default: the latest accepted revision")
    private var revision: Long? = null

    override suspend fun run(store: SettingsStore): Int {
        val snapshot = revision?.let { store.read(Revision(it)).orThrow() } ?: store.current()
        val node = SettingsPath(path.trim('/'))
        when {
            effective -> printEffective(snapshot.tree, node)
            node == SettingsPath.ROOT -> out.print(SettingsYaml.write(snapshot.tree, snapshot.revision))
            else -> printFields(snapshot.tree, node)
        }
        return ExitCode.OK
    }

    private fun printEffective(tree: SettingsTree, node: SettingsPath) {
        val scope = scopeOf(node, zone?.let(::ZoneId))
            ?: throw CommandFailure("$node has no effective values; specify a zone, workspace, service or model")
        if (node != SettingsPath.ROOT && node.text != "defaults" && node !in flatten(tree)) {
            // Nodes nested in a workspace inherit all values if they are not in the tree.
            if (scope.workspace == null || scope.workspace?.value !in tree.workspacesMap) {
                throw CommandFailure("$node does not exist")
            }
        }
        tree.effectiveWithOrigin(scope).forEach {
            out.println("%-26s %-12s %s".format(it.spec.name, it.value, it.origin ?: "(default)"))
        }
    }

    private fun printFields(tree: SettingsTree, node: SettingsPath) {
        val fields = flatten(tree).filterKeys { node.contains(it) }
        if (fields.isEmpty()) throw CommandFailure("$node does not exist")
        fields.filterValues { it != FieldValue.Present }.forEach { (field, value) -> out.println("$field: $value") }
    }
}
