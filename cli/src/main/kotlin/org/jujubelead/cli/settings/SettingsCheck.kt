/** `settings check FILE`: validates a file and reports all errors. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.Command
import org.jujubelead.cli.ExitCode
import org.kohsuke.args4j.Argument
import java.io.File
import java.io.PrintStream

public class SettingsCheck(private val out: PrintStream, private val err: PrintStream) : Command {
    public constructor() : this(System.out, System.err)

    @Argument(metaVar = "FILE", required = true, usage = "settings in YAML")
    private lateinit var file: File

    override fun run(): Int = runReporting(err) {
        val tree = parseFile(file.readText(), file)
        out.println(
            "$file is valid: ${tree.zonesCount} zones, ${tree.workspacesCount} workspaces, " +
                "${tree.servicesCount} services, ${tree.modelsCount} models",
        )
        ExitCode.OK
    }
}
