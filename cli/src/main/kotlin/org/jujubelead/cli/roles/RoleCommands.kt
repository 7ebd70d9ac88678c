/** The subcommands `entry` and `agent`, which run a process. */
package org.jujubelead.cli.roles

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.jujubelead.cli.Command
import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.ProcessSettings
import org.jujubelead.runtime.agent.runAgent
import org.jujubelead.runtime.entry.runEntry
import org.jujubelead.runtime.process.StartException
import org.jujubelead.runtime.process.loadProcessSettings
import org.kohsuke.args4j.Option
import java.io.File

/** A command that runs a process in one role until it is stopped. */
public abstract class RoleCommand(private val role: suspend (ProcessSettings) -> Unit) : Command {
    @Option(
        name = "--settings",
        required = true,
        metaVar = "FILE",
        usage = "YAML file with the settings of this process",
    )
    private lateinit var file: File

    override fun run(): Int {
        val settings = loadProcessSettings(file).getOrElse { errors ->
            errors.forEach { System.err.println("$file: ${it.path}: ${it.message}") }
            return ExitCode.USAGE
        }
        return try {
            runBlocking { role(settings) }
            ExitCode.OK
        } catch (e: StartException) {
            System.err.println("$file: ${e.message}")
            ExitCode.USAGE
        }
    }
}

/** `jujubelead entry`. */
public class EntryCommand : RoleCommand(role = ::runEntry)

/** `jujubelead agent`. */
public class AgentCommand : RoleCommand(role = ::runAgent)
