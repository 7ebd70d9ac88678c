/** `settings rollback REVISION`: applies the tree of an earlier revision as a new revision. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.ExitCode
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.settings.SettingsStore
import org.kohsuke.args4j.Argument
import java.io.PrintStream
import java.time.Instant

public class SettingsRollback(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : ChangeCommand(out, err, connect) {
    public constructor() : this(System.out, System.err)

    @Argument(metaVar = "REVISION", required = true, usage = "revision to restore")
    private var revision: Long = 0

    override suspend fun run(store: SettingsStore): Int {
        val result = store.rollback(
            revision = Revision(revision),
            operation = operation,
            author = author,
            at = Instant.now(),
        )
        out.println(describe(result.orThrow()))
        return ExitCode.OK
    }
}
