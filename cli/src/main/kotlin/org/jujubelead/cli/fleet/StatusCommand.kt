/** `jujubelead status`: the status of all entries and targets. */
package org.jujubelead.cli.fleet

import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.StatusReply
import org.jujubelead.protocol.StatusRequest

/** Prints each entry with its settings revision, and each target with its state as reported by the entries. */
public class StatusCommand : FleetCommand() {
    override suspend fun query(options: FleetOptions): Int {
        val replies = queryEntries(options) { it.status(StatusRequest.getDefaultInstance()) }
        println("%-24s %-12s %9s %11s %s".format("ENTRY", "ZONE", "REVISION", "IN PROGRESS", "STATE"))
        replies.sortedBy { it.entry.id.value }.forEach { entryReply ->
            val reply = entryReply.value
            if (reply == null) {
                println(
                    "%-24s %-12s %9s %11s %s".format(
                        entryReply.entry.id,
                        entryReply.entry.zone,
                        "-",
                        "-",
                        "no reply",
                    ),
                )
            } else {
                println(entryLine(reply))
            }
        }
        printTargets(replies.mapNotNull { it.value })
        return if (replies.all { it.value != null }) ExitCode.OK else ExitCode.FAILED
    }

    private fun entryLine(reply: StatusReply): String {
        val state = if (reply.draining) "draining, ${reply.drainLeftMs} ms left" else "ready"
        return "%-24s %-12s %9d %11d %s".format(
            reply.instance,
            reply.zone,
            reply.settingsRevision,
            reply.inFlight,
            state,
        )
    }

    private fun printTargets(replies: List<StatusReply>) {
        println("\n%-24s %-12s %11s %s".format("TARGET", "ZONE", "IN PROGRESS", "STATE (number of entries)"))
        replies.flatMap { it.targetsList }.groupBy { it.instance }.toSortedMap().forEach { (instance, reports) ->
            val states = reports.groupingBy { it.state }.eachCount().entries.joinToString { "${it.key} (${it.value})" }
            println("%-24s %-12s %11d %s".format(instance, reports.first().zone, reports.sumOf { it.inFlight }, states))
        }
    }
}
