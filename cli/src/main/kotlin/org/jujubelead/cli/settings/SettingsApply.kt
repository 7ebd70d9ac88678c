/** `jujubelead settings apply`: checks a file of settings and gets it accepted. */
package org.jujubelead.cli.settings

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.jujubelead.cli.Command
import org.jujubelead.cli.ExitCode
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.settings.SettingsEdit
import org.jujubelead.settings.SettingsParser
import org.jujubelead.settings.SettingsStore
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.time.Instant
import java.util.UUID

public class SettingsApply : Command {
    @Argument(metaVar = "FILE", required = true, usage = "YAML file with the whole tree")
    private lateinit var file: File

    @Option(name = "--kv", required = true, metaVar = "URL", usage = "base URL of the key-value service")
    private lateinit var keyValueUrl: String

    @Option(name = "--author", metaVar = "NAME", usage = "who makes the change")
    private var author: String = System.getProperty("user.name")

    override fun run(): Int = runBlocking {
        val tree = SettingsParser.parse(file.readText(), file.path).getOrElse { faults ->
            faults.forEach { System.err.println(it) }
            return@runBlocking ExitCode.USAGE
        }
        HttpKeyValueStore(keyValueUrl).use { kv ->
            val store = SettingsStore(kv)
            val base = store.readRoot().getOrElse { null }?.root?.revision?.let { org.jujubelead.core.ids.Revision(it) }
            val edit = SettingsEdit(
                operation = OperationId(UUID.randomUUID().toString()),
                author = author,
                summary = file.name,
                at = Instant.now(),
                base = base,
                tree = tree,
            )
            store.apply(edit).fold(
                success = {
                    println("accepted as revision ${it.revision}")
                    ExitCode.OK
                },
                failure = {
                    System.err.println("not accepted: $it")
                    ExitCode.FAILED
                },
            )
        }
    }
}
