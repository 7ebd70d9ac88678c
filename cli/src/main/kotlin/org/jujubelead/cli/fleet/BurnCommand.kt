/** `jujubelead report burn`: service-level burn per workspace. */
package org.jujubelead.cli.fleet

import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.StatusRequest
import org.kohsuke.args4j.Option
import java.io.File

private const val DEFAULT_OBJECTIVE = 0.95

/** Prints the report, and writes it as a page when asked to. */
public class BurnCommand : FleetCommand() {
    @Option(name = "--objective", metaVar = "SHARE", usage = "share of requests that must be on time, 0 to 1")
    private var objective: Double = DEFAULT_OBJECTIVE

    @Option(name = "--html", metaVar = "FILE", usage = "also write the report as one HTML page")
    private var html: File? = null

    override suspend fun ask(options: FleetOptions): Int {
        if (objective !in 0.0..<1.0) throw FleetException("--objective must be from 0 to below 1")
        val answers = askEntries(options) { it.status(StatusRequest.getDefaultInstance()) }
        val rows = burnRows(answers.flatMap { it.value?.burnList.orEmpty() }, objective)
        print(rows.toText())
        answers.filter {
            it.value == null
        }.forEach { System.err.println("no answer from ${it.entry.id}: not in the report") }
        html?.let {
            it.writeText(rows.toHtml())
            println("written to $it")
        }
        return if (answers.all { it.value != null }) ExitCode.OK else ExitCode.FAILED
    }
}
