/** `jujubelead status`: the fleet at a glance. */
package org.jujubelead.cli.fleet

import org.jujubelead.cli.ExitCode
import org.jujubelead.protocol.StatusReply
import org.jujubelead.protocol.StatusRequest

/** Prints each entry with its settings revision, and each target as the entries see it. */
public class StatusCommand : FleetCommand() {
    override suspend fun ask(options: FleetOptions): Int {
        val answers = askEntries(options) { it.status(StatusRequest.getDefaultInstance()) }
        println("%-24s %-12s %9s %11s %s".format("ENTRY", "ZONE", "REVISION", "IN PROGRESS", "STATE"))
        answers.sortedBy { it.entry.id.value }.forEach { answer ->
            val reply = answer.value
            if (reply == null) {
                println("%-24s %-12s %9s %11s %s".format(answer.entry.id, answer.entry.zone, "-", "-", "no answer"))
            } else {
                println(line(reply))
            }
        }
        printTargets(answers.mapNotNull { it.value })
        return if (answers.all { it.value != null }) ExitCode.OK else ExitCode.FAILED
    }

    private fun line(reply: StatusReply): String {
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
        println("\n%-24s %-12s %11s %s".format("TARGET", "ZONE", "IN PROGRESS", "STATE (entries that say so)"))
        replies.flatMap { it.targetsList }.groupBy { it.instance }.toSortedMap().forEach { (instance, views) ->
            val states = views.groupingBy { it.state }.eachCount().entries.joinToString { "${it.key} (${it.value})" }
            println("%-24s %-12s %11d %s".format(instance, views.first().zone, views.sumOf { it.inFlight }, states))
        }
    }
}
