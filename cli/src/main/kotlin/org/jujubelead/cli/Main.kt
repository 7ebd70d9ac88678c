/** Entry point of the binary: finds the subcommand, parses its options, and turns wrong use into exit code 2. */
package org.jujubelead.cli

import org.jujubelead.cli.fleet.BurnCommand
import org.jujubelead.cli.fleet.ExplainCommand
import org.jujubelead.cli.fleet.StatusCommand
import org.jujubelead.cli.roles.AgentCommand
import org.jujubelead.cli.roles.EntryCommand
import org.jujubelead.cli.settings.settingsCommands
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.PrintStream
import kotlin.system.exitProcess

/** A subcommand as the top-level help lists it. [name] can have several words, such as `settings check`. */
public class CommandEntry(public val name: String, public val summary: String, public val create: () -> Command)

private const val USAGE_WIDTH = 110

/** Runs the binary with [args] and returns its exit code. */
public fun runCommand(
    args: List<String>,
    commands: List<CommandEntry>,
    out: PrintStream = System.out,
    err: PrintStream = System.err,
): Int {
    if (args.isEmpty() || args.first() in setOf("--help", "-h", "help")) {
        out.println("usage: jujubelead COMMAND [OPTIONS]\n\ncommands:")
        commands.forEach { out.println("  %-22s %s".format(it.name, it.summary)) }
        out.println("\n'jujubelead COMMAND --help' lists the options of a command.")
        return if (args.isEmpty()) ExitCode.USAGE else ExitCode.OK
    }
    if (args.first() == "--version") {
        out.println("jujubelead ${CommandEntry::class.java.`package`.implementationVersion ?: "development"}")
        return ExitCode.OK
    }
    val entry = commands.filter { matches(it, args) }.maxByOrNull { it.name.length }
    if (entry == null) {
        err.println("jujubelead: unknown command \"${args.first()}\"; 'jujubelead --help' lists the commands")
        return ExitCode.USAGE
    }
    return runEntry(entry, args.drop(entry.name.split(' ').size), out, err)
}

private fun matches(entry: CommandEntry, args: List<String>): Boolean {
    val words = entry.name.split(' ')
    return args.take(words.size) == words
}

private fun runEntry(entry: CommandEntry, rest: List<String>, out: PrintStream, err: PrintStream): Int {
    val command = entry.create()
    val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    if (rest.any { it == "--help" || it == "-h" }) {
        out.println("usage: jujubelead ${entry.name} [OPTIONS]\n\n${entry.summary}\n")
        parser.printUsage(out)
        return ExitCode.OK
    }
    return try {
        parser.parseArgument(rest)
        command.run()
    } catch (e: CmdLineException) {
        err.println("jujubelead ${entry.name}: ${e.message}")
        ExitCode.USAGE
    }
}

private val commands: List<CommandEntry> = listOf(
    CommandEntry(name = "entry", summary = "run an entry, which callers connect to", create = ::EntryCommand),
    CommandEntry(name = "agent", summary = "run an agent beside a target", create = ::AgentCommand),
    CommandEntry(name = "status", summary = "show the fleet at a glance", create = ::StatusCommand),
    CommandEntry(name = "explain", summary = "show where a request went, and why", create = ::ExplainCommand),
    CommandEntry(name = "report burn", summary = "show service-level burn per workspace", create = ::BurnCommand),
) + settingsCommands

public fun main(args: Array<String>) {
    exitProcess(runCommand(args = args.toList(), commands = commands))
}
