/**
 * Finds event loops of gateways that were busy with one task for too long, in the logs of their processes.
 *
 * A suspended process or a machine without a free processor delays both loops of a gateway alike. A task delays its own
 * loop only.
 */
package org.jujubelead.bench.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.io.File

/** Tasks of a [loop] of [gateway] ran [millis] late; the line was written [atMillis], by the clock of the process. */
internal class LoopDelay(val gateway: String, val loop: String, val atMillis: Long, val millis: Long)

/**
 * Reads the delays from the logs of the gateways in [directory]. The last moments of a process are left out: one that
 * is killed right after it stood still has reported the delay of one loop only.
 */
internal fun readLoopDelays(directory: File): List<LoopDelay> =
    directory.listFiles { file -> file.name.startsWith("gateway-") && file.extension == "log" }.orEmpty()
        .flatMap { file -> runsOf(file).flatMap { delaysOf(file.nameWithoutExtension, it) } }

/** Returns the log lines of each process that wrote to [file]. */
private fun runsOf(file: File): List<List<JsonObject>> {
    val runs = ArrayList<MutableList<JsonObject>>()
    for (line in file.readLines().filter { it.startsWith("{") }) {
        val fields = Json.parseToJsonElement(line).jsonObject
        if (runs.isEmpty() || fields.text("event") == "STARTED") runs += ArrayList<JsonObject>()
        runs.last() += fields
    }
    return runs
}

private fun delaysOf(gateway: String, run: List<JsonObject>): List<LoopDelay> {
    val end = run.last().number("time")
    return run.filter { it.text("event") == "LOOP_DELAYED" && it.number("time") < end - REPORT_MILLIS }
        .map { LoopDelay(gateway, it.text("loop"), atMillis = it.number("time"), millis = it.number("millis")) }
}

private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

private fun JsonObject.number(name: String) = getValue(name).jsonPrimitive.long

/** Returns the delays of which the other loop of the gateway shows nothing. */
internal fun List<LoopDelay>.ofBusyLoops(): List<LoopDelay> = filter { delay ->
    delay.millis > MAX_BUSY_MILLIS && none { other ->
        other.gateway == delay.gateway && other.loop != delay.loop && other.millis > delay.millis / 2 &&
            other.atMillis in delay.atMillis - delay.millis..delay.atMillis + delay.millis
    }
}

/** Twice the interval in which each loop measures its delay. */
private const val REPORT_MILLIS = 200L

/** A request that is unanswered at its timeout has a final answer half a second later. */
private const val MAX_BUSY_MILLIS = 500L
