/** `settings history`: lists accepted changes, newest first. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.ExitCode
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.settings.SettingsStore
import org.kohsuke.args4j.Option
import java.io.PrintStream

private const val DEFAULT_LIMIT = 20

public class SettingsHistoryCommand(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : StoreCommand(out, err, connect) {
    public constructor() : this(System.out, System.err)

    @Option(name = "--limit", metaVar = "N", usage = "maximum number of changes to list")
    private var limit: Int = DEFAULT_LIMIT

    override suspend fun run(store: SettingsStore): Int {
        store.history(limit).orThrow().forEach {
            out.println("%8d  %-24s %-16s %s".format(it.revision, it.acceptedAt, it.author, it.summary))
        }
        return ExitCode.OK
    }
}
