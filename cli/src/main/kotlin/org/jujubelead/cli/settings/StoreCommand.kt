/** What the commands on stored settings have in common: the address of the service, and the text of errors. */
package org.jujubelead.cli.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.jujubelead.cli.Command
import org.jujubelead.cli.ExitCode
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.settings.SettingsParser
import org.jujubelead.settings.SettingsSnapshot
import org.jujubelead.settings.SettingsStore
import org.jujubelead.settings.SettingsStoreError
import org.jujubelead.settings.SettingsValidationError
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.io.PrintStream

/** Ends a command with [message] on standard error and [exitCode]. */
internal class CommandFailure(message: String, val exitCode: Int = ExitCode.FAILED) : Exception(message)

/** Runs [body] and turns its failure into a message and an exit code. */
internal fun runReporting(err: PrintStream, body: () -> Int): Int = try {
    body()
} catch (e: CommandFailure) {
    err.println(e.message)
    e.exitCode
} catch (e: IOException) {
    err.println("jujubelead: ${e.message}")
    ExitCode.FAILED
}

/** Reads and checks a file; the faults of the file are the message of the failure. */
internal fun parseFile(text: String, file: File): SettingsTree = SettingsParser.parse(text, file.path)
    .getOrElse { faults -> throw CommandFailure(describe(faults), ExitCode.USAGE) }

internal fun describe(faults: List<SettingsValidationError>): String =
    faults.joinToString("\n") + "\n${faults.size} fault${if (faults.size == 1) "" else "s"}"

/** A command on stored settings. */
public abstract class StoreCommand(
    protected val out: PrintStream,
    private val err: PrintStream,
    private val connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : Command {
    @Option(name = "--kv", metaVar = "URL", required = true, usage = "address of the key-value service")
    private var address: String = ""

    /** Runs the command on [store]. */
    protected abstract suspend fun run(store: SettingsStore): Int

    override fun run(): Int = runReporting(err) {
        val kv = connect(address)
        try {
            runBlocking { run(SettingsStore(kv)) }
        } finally {
            (kv as? AutoCloseable)?.close()
        }
    }

    protected suspend fun SettingsStore.current(): SettingsSnapshot =
        read().orFail() ?: throw CommandFailure("there are no settings yet; use 'settings apply'")

    internal fun <T> Result<T, SettingsStoreError>.orFail(): T = getOrElse { throw CommandFailure(it.describe()) }
}

internal fun SettingsStoreError.describe(): String = when (this) {
    is SettingsStoreError.Unavailable -> "the key-value service is not available: $detail; nothing was changed"

    is SettingsStoreError.OutcomeUnknown ->
        "the answer was lost and the change may have been accepted; repeat it with --operation $operation to find out"

    is SettingsStoreError.Conflict ->
        "the same fields were changed since, now at revision $current:\n" + fields.joinToString("\n") { "  $it" }

    is SettingsStoreError.Invalid -> describe(errors)

    is SettingsStoreError.UnknownRevision -> "revision $revision does not exist or is no longer kept"

    is SettingsStoreError.BranchTooLarge ->
        "branch $branch has $bytes bytes; the key-value service takes ${KeyValueStore.MAX_VALUE_BYTES}"

    is SettingsStoreError.Corrupt -> "the stored settings cannot be read: $detail"

    SettingsStoreError.Contended -> "other changes were accepted first each time; nothing was changed"
}
