/** `jujubelead explain`: where a request went, and why. */
package org.jujubelead.cli.fleet

import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.ExplainRequest
import org.kohsuke.args4j.Argument

/** Prints the steps of one request from the entry that served it. */
public class ExplainCommand : FleetCommand() {
    @Argument(metaVar = "REQUEST_ID", required = true, usage = "value of the X-Request-Id header of the answer")
    private lateinit var requestId: String

    override suspend fun ask(options: FleetOptions): Int {
        val request = ExplainRequest.newBuilder().setRequestId(requestId).build()
        val answers = askEntries(options) { it.explain(request) }
        val found = answers.filter { it.value?.found == true }
        found.forEach { println("${it.entry.id} (${it.entry.zone})\n${it.value?.text}") }
        if (found.isEmpty()) {
            System.err.println(
                "jujubelead: no entry knows request \"$requestId\"; each keeps its last 8192",
            )
        }
        return if (found.isEmpty()) ExitCode.FAILED else ExitCode.OK
    }
}
