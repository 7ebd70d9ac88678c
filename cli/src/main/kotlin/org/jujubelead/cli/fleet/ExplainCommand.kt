/** `jujubelead explain`: how a request was routed, and why. */
package org.jujubelead.cli.fleet

import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.ExplainRequest
import org.kohsuke.args4j.Argument

/** Prints the steps of a request as recorded by the entry that served it. */
public class ExplainCommand : FleetCommand() {
    @Argument(metaVar = "REQUEST_ID", required = true, usage = "value of the X-Request-Id response header")
    private lateinit var requestId: String

    override suspend fun query(options: FleetOptions): Int {
        val request = ExplainRequest.newBuilder().setRequestId(requestId).build()
        val replies = queryEntries(options) { it.explain(request) }
        val found = replies.filter { it.value?.found == true }
        found.forEach { println("${it.entry.id} (${it.entry.zone})\n${it.value?.text}") }
        if (found.isEmpty()) {
            System.err.println(
                "jujubelead: no entry knows request \"$requestId\"; each entry keeps only its last 8192 requests",
            )
        }
        return if (found.isEmpty()) ExitCode.FAILED else ExitCode.OK
    }
}
