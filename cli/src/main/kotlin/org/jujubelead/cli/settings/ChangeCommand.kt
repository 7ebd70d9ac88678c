/** What the commands that change settings have in common: the author, and the id that makes a change repeatable. */
package org.jujubelead.cli.settings

import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.settings.ApplyResult
import org.kohsuke.args4j.Option
import java.io.PrintStream
import java.util.UUID

/** A command that proposes a change. */
public abstract class ChangeCommand(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore,
) : StoreCommand(out, err, connect) {
    @Option(name = "--author", metaVar = "NAME", usage = "who makes the change")
    protected var author: String = System.getProperty("user.name").orEmpty()

    @Option(
        name = "--operation",
        metaVar = "ID",
        usage = "id of an earlier attempt of the same change, to find its outcome",
    )
    private var operationId: String = UUID.randomUUID().toString()

    protected val operation: OperationId get() = OperationId(operationId)
}

internal fun describe(result: ApplyResult): String =
    if (result.changed) {
        "accepted as revision ${result.revision}"
    } else {
        "nothing to change; revision ${result.revision} stays in force"
    }
