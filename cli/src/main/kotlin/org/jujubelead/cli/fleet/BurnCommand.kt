/** `jujubelead report burn`: error budget burn rate per workspace. */
package org.jujubelead.cli.fleet

import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.StatusRequest
import org.kohsuke.args4j.Option
import java.io.File

private const val DEFAULT_OBJECTIVE = 0.95

/** Prints the report and optionally writes it as an HTML page. */
public class BurnCommand : FleetCommand() {
    @Option(name = "--objective", metaVar = "SHARE", usage = "fraction of requests that must be on time, below 1")
    private var objective: Double = DEFAULT_OBJECTIVE

    @Option(name = "--html", metaVar = "FILE", usage = "also write the report as one HTML page")
    private var html: File? = null

    override suspend fun query(options: FleetOptions): Int {
        if (objective !in 0.0..<1.0) throw FleetException("--objective must be at least 0 and less than 1")
        val replies = queryEntries(options) { it.status(StatusRequest.getDefaultInstance()) }
        val rows = burnRows(replies.flatMap { it.value?.burnList.orEmpty() }, objective)
        print(rows.toText())
        replies.filter {
            it.value == null
        }.forEach { System.err.println("no reply from ${it.entry.id}; it is not included in the report") }
        html?.let {
            it.writeText(rows.toHtml())
            println("report written to $it")
        }
        return if (replies.all { it.value != null }) ExitCode.OK else ExitCode.FAILED
    }
}
