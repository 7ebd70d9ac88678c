/** `settings apply FILE`: applies a file after merging it field by field with the changes accepted since its base. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.ExitCode
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.settings.SettingsEdit
import org.jujubelead.settings.SettingsStore
import org.jujubelead.settings.SettingsYaml
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.io.PrintStream
import java.time.Instant

public class SettingsApply(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : ChangeCommand(out, err, connect) {
    public constructor() : this(System.out, System.err)

    @Argument(metaVar = "FILE", required = true, usage = "YAML file with the whole tree")
    private lateinit var file: File

    @Option(
        name = "--base",
        metaVar = "N",
        usage = "revision that the file is based on; default: the comment '# revision: N' in its first line",
    )
    private var base: Long? = null

    @Option(name = "--replace", forbids = ["--base"], usage = "replace the accepted settings without merging")
    private var replace: Boolean = false

    @Option(name = "--summary", metaVar = "TEXT", usage = "summary for the history; default: the file name")
    private var summary: String? = null

    override suspend fun run(store: SettingsStore): Int {
        val text = file.readText()
        val edit = SettingsEdit(
            operation = operation,
            author = author,
            summary = summary ?: file.name,
            at = Instant.now(),
            base = store.baseOf(text),
            tree = parseFile(text, file),
        )
        out.println(describe(store.apply(edit).orThrow()))
        return ExitCode.OK
    }

    private suspend fun SettingsStore.baseOf(text: String): Revision? {
        val current = readRoot().orThrow()?.let { Revision(it.root.revision) } ?: return null
        val given = base?.let(::Revision) ?: SettingsYaml.revisionOf(text)
        if (given == null && !replace) {
            throw CommandFailure(
                "the base revision of $file is unknown; specify --base N, start from 'settings get', " +
                    "or use --replace to replace revision $current",
                ExitCode.USAGE,
            )
        }
        return given?.takeUnless { replace } ?: current
    }
}
