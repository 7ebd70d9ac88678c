/** Common options of commands that change settings: the author, and the operation id that makes changes idempotent. */
package org.jujubelead.cli.settings

import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.settings.ApplyResult
import org.kohsuke.args4j.Option
import java.io.PrintStream
import java.util.UUID

/** A command that changes settings. */
public abstract class ChangeCommand(
    out: PrintStream,
    err: PrintStream,
    connect: (String) -> KeyValueStore,
) : StoreCommand(out, err, connect) {
    @Option(name = "--author", metaVar = "NAME", usage = "author of the change")
    protected var author: String = System.getProperty("user.name").orEmpty()

    @Option(
        name = "--operation",
        metaVar = "ID",
        usage = "id of an earlier attempt at the same change, to determine its outcome",
    )
    private var operationId: String = UUID.randomUUID().toString()

    protected val operation: OperationId get() = OperationId(operationId)
}

internal fun describe(result: ApplyResult): String =
    if (result.changed) {
        "accepted as revision ${result.revision}"
    } else {
        "no changes; revision ${result.revision} remains active"
    }
