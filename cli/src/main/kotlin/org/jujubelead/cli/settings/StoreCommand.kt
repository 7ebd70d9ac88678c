/** Common parts of commands that access stored settings: the store address and the error messages. */
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
import org.jujubelead.settings.ValidationError
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.io.PrintStream

/** Terminates a command with [exitCode], and prints [message] to standard error. */
internal class CommandFailure(message: String, val exitCode: Int = ExitCode.FAILED) : Exception(message)

/** Runs [body] and converts a failure to an error message and exit code. */
internal fun runReporting(err: PrintStream, body: () -> Int): Int = try {
    body()
} catch (e: CommandFailure) {
    err.println(e.message)
    e.exitCode
} catch (e: IOException) {
    err.println("jujubelead: ${e.message}")
    ExitCode.FAILED
}

/** Parses and validates a file; throws a [CommandFailure] that lists the errors of an invalid file. */
internal fun parseFile(text: String, file: File): SettingsTree = SettingsParser.parse(text, file.path)
    .getOrElse { errors -> throw CommandFailure(describe(errors), ExitCode.USAGE) }

internal fun describe(errors: List<ValidationError>): String =
    errors.joinToString("\n") + "\n${errors.size} error${if (errors.size == 1) "" else "s"}"

/** A command that accesses stored settings. */
public abstract class StoreCommand(
    protected val out: PrintStream,
    private val err: PrintStream,
    private val connect: (String) -> KeyValueStore = ::HttpKeyValueStore,
) : Command {
    @Option(name = "--kv", metaVar = "URL", required = true, usage = "address of the key-value service")
    private var address: String = ""

    /** Runs the command with [store] and returns its exit code. */
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
        read().orThrow() ?: throw CommandFailure("no settings have been accepted yet; use 'settings apply'")

    internal fun <T> Result<T, SettingsStoreError>.orThrow(): T = getOrElse { throw CommandFailure(it.describe()) }
}

internal fun SettingsStoreError.describe(): String = when (this) {
    is SettingsStoreError.Unavailable -> "key-value service unavailable: $detail; nothing was changed"

    is SettingsStoreError.OutcomeUnknown ->
        "outcome unknown, the change may have been accepted; repeat it with --operation $operation to find out"

    is SettingsStoreError.Conflict ->
        "conflict: the same fields were changed concurrently; the current revision is $current:\n" +
            fields.joinToString("\n") { "  $it" }

    is SettingsStoreError.Invalid -> describe(errors)

    is SettingsStoreError.UnknownRevision -> "revision $revision does not exist or is no longer retained"

    is SettingsStoreError.BranchTooLarge ->
        "branch $branch has $bytes bytes; the maximum is ${KeyValueStore.MAX_VALUE_BYTES}"

    is SettingsStoreError.Corrupt -> "stored settings are corrupt: $detail"

    SettingsStoreError.Contended -> "concurrent changes were accepted first in every attempt; nothing was changed"
}
