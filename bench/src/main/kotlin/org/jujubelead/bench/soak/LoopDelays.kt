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

/** Reads the delays from the logs of the gateways in [directory]. */
internal fun readLoopDelays(directory: File): List<LoopDelay> =
    directory.listFiles { file -> file.name.startsWith("gateway-") && file.extension == "log" }.orEmpty()
        .flatMap { file -> file.readLines().filter { EVENT in it }.map { parse(file.nameWithoutExtension, it) } }

private fun parse(gateway: String, line: String): LoopDelay {
    val fields: JsonObject = Json.parseToJsonElement(line).jsonObject
    return LoopDelay(
        gateway = gateway,
        loop = fields.getValue("loop").jsonPrimitive.content,
        atMillis = fields.getValue("time").jsonPrimitive.long,
        millis = fields.getValue("millis").jsonPrimitive.long,
    )
}

/** Returns the delays of which the other loop of the gateway shows nothing. */
internal fun List<LoopDelay>.ofBusyLoops(): List<LoopDelay> = filter { delay ->
    delay.millis > MAX_BUSY_MILLIS && none { other ->
        other.gateway == delay.gateway && other.loop != delay.loop && other.millis > delay.millis / 2 &&
            other.atMillis in delay.atMillis - delay.millis..delay.atMillis + delay.millis
    }
}

private const val EVENT = "\"event\":\"LOOP_DELAYED\""

/** A request that is unanswered at its timeout has a final answer half a second later. */
private const val MAX_BUSY_MILLIS = 500L
