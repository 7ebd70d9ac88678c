/** `settings rollback REVISION`: puts the tree of an earlier revision in force again, as a new revision. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.ExitCode
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.settings.SettingsStore
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.PrintStream
import java.time.Instant
import java.util.UUID

public class SettingsRollback(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : StoreCommand(out, err, connect) {
    public constructor() : this(System.out, System.err)

    @Argument(metaVar = "REVISION", required = true, usage = "revision to go back to")
    private var revision: Long = 0

    @Option(name = "--author", metaVar = "NAME", usage = "who makes the change")
    private var author: String = System.getProperty("user.name").orEmpty()

    @Option(
        name = "--operation",
        metaVar = "ID",
        usage = "id of an earlier attempt of the same change, to find its outcome",
    )
    private var operation: String = UUID.randomUUID().toString()

    override suspend fun run(store: SettingsStore): Int {
        val result = store.rollback(
            revision = Revision(revision),
            operation = OperationId(operation),
            author = author,
            at = Instant.now(),
        )
        out.println(describe(result.orFail()))
        return ExitCode.OK
    }
}
