/** `settings diff [FILE]`: lists the fields that differ between a revision and a file or another revision. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.ExitCode
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.settings.SettingsStore
import org.jujubelead.settings.diff
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.io.PrintStream

public class SettingsDiff(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : StoreCommand(out, err, connect) {
    public constructor() : this(System.out, System.err)

    @Argument(metaVar = "FILE", usage = "settings in YAML; default: the latest accepted revision")
    private var file: File? = null

    @Option(name = "--from", metaVar = "N", usage = "revision to compare with; default: the latest accepted revision")
    private var from: Long? = null

    @Option(name = "--to", metaVar = "N", forbids = ["FILE"], usage = "revision to compare instead of a file")
    private var to: Long? = null

    override suspend fun run(store: SettingsStore): Int {
        val after = file?.let { parseFile(it.readText(), it) } ?: store.tree(to)
        val changes = diff(before = store.tree(from), after = after)
        changes.forEach { out.println(it) }
        out.println("${changes.size} difference${if (changes.size == 1) "" else "s"}")
        return ExitCode.OK
    }

    private suspend fun SettingsStore.tree(revision: Long?): SettingsTree =
        (revision?.let { read(Revision(it)).orThrow() } ?: current()).tree
}
