/** Entry point of the binary: finds the subcommand and parses its options. Usage errors result in exit code 2. */
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

/** A subcommand as listed in the top-level help. [name] can consist of several words, such as `settings check`. */
public class CommandDefinition(public val name: String, public val summary: String, public val create: () -> Command)

private const val USAGE_WIDTH = 110

/** Runs the binary with [args] and returns its exit code. */
public fun runCommand(
    args: List<String>,
    commands: List<CommandDefinition>,
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
        out.println("jujubelead ${CommandDefinition::class.java.`package`.implementationVersion ?: "development"}")
        return ExitCode.OK
    }
    val entry = commands.filter { matches(it, args) }.maxByOrNull { it.name.length }
    if (entry == null) {
        err.println("jujubelead: unknown command \"${args.first()}\"; 'jujubelead --help' lists the commands")
        return ExitCode.USAGE
    }
    return parseAndRun(entry, args.drop(entry.name.split(' ').size), out, err)
}

private fun matches(entry: CommandDefinition, args: List<String>): Boolean {
    val words = entry.name.split(' ')
    return args.take(words.size) == words
}

private fun parseAndRun(entry: CommandDefinition, arguments: List<String>, out: PrintStream, err: PrintStream): Int {
    val command = entry.create()
    val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    if (arguments.any { it == "--help" || it == "-h" }) {
        out.println("usage: jujubelead ${entry.name} [OPTIONS]\n\n${entry.summary}\n")
        parser.printUsage(out)
        return ExitCode.OK
    }
    return try {
        parser.parseArgument(arguments)
        command.run()
    } catch (e: CmdLineException) {
        err.println("jujubelead ${entry.name}: ${e.message}")
        ExitCode.USAGE
    }
}

private val commands: List<CommandDefinition> = listOf(
    CommandDefinition("entry", "run an entry, the process that clients connect to", ::EntryCommand),
    CommandDefinition("agent", "run an agent next to a target", ::AgentCommand),
    CommandDefinition("status", "show the status of all entries and targets", ::StatusCommand),
    CommandDefinition("explain", "show how a request was routed, and why", ::ExplainCommand),
    CommandDefinition("report burn", "show the error budget burn rate per workspace", ::BurnCommand),
) + settingsCommands

public fun main(args: Array<String>) {
    exitProcess(runCommand(args = args.toList(), commands = commands))
}
