/**
 * Explains what became of one request from the log lines of all processes.
 *
 * Beside the lines that name the request, it shows what processes came to believe around it: the cause of a refusal or
 * of a broken stream is mostly there. Lines may carry any text before their JSON object, as log collectors add.
 */
package org.jujubelead.gateway.telemetry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Explains requests from [lines]; those that are not log lines are passed over. */
public class RequestExplanation(lines: Sequence<String>) {
    private class Line(val millis: Long, val fields: JsonObject) {
        val event: String = fields.text("event").orEmpty()
        val instance: String = fields.text("instance").orEmpty()

        fun shown(since: Long): String {
            val details = fields.entries.filter { it.key !in HEAD }.joinToString(" ") { (k, v) -> "$k=${v.shown()}" }
            return "%+7d ms  %-24s %-20s %s".format(millis - since, instance, event, details).trimEnd()
        }
    }

    private val all: List<Line> = lines.mapNotNull(::parse).sortedBy { it.millis }.toList()

    /** The story of [request] as lines of text; null when no line names it. */
    public fun explain(request: String): List<String>? {
        val own = all.filter { it.fields.text("request") == request }
        val first = own.firstOrNull() ?: return null
        val arrived = own.minOf { it.millis - (it.fields.number("millis") ?: it.fields.number("afterMillis") ?: 0) }
        val last = own.last().millis
        val around = all.filter {
            it.event in STATE_CHANGES &&
                it.millis in arrived - CONTEXT_WINDOW.millis..last + CONTEXT_WINDOW.millis
        }
        return buildList {
            add("request $request at ${first.instance}, times since its arrival")
            own.forEach { add("  " + it.shown(arrived)) }
            if (around.isNotEmpty()) {
                add(
                    "what processes came to believe from $CONTEXT_WINDOW before to $CONTEXT_WINDOW after it",
                )
            }
            around.forEach { add("  " + it.shown(arrived)) }
        }
    }

    private fun parse(line: String): Line? {
        val start = line.indexOf('{')
        if (start < 0) return null
        val fields = try {
            Json.parseToJsonElement(line.substring(start)) as? JsonObject
        } catch (_: SerializationException) {
            null // Another program's line, or one that was cut when its process ended.
        }
        return fields?.number("time")?.let { Line(it, fields) }
    }

    private companion object {
        /** Beliefs lag: leases, readiness and lists of replicas take a second or two. */
        val CONTEXT_WINDOW: Duration = 2.seconds

        /** Fields that stand at the head of a shown line. */
        val HEAD = setOf("time", "instance", "code", "event", "request")

        /** Events that change what a process believes. */
        val STATE_CHANGES = setOf(
            LogEvent.STARTED, LogEvent.STOP_REQUESTED, LogEvent.STOPPED, LogEvent.CONFIGURATION_APPLIED,
            LogEvent.CONFIGURATION_UNREADABLE, LogEvent.REPLICAS_CHANGED, LogEvent.STORE_LOST, LogEvent.STORE_REGAINED,
            LogEvent.READINESS_CHANGED, LogEvent.SLOW_RANKS_CHANGED, LogEvent.LEADERSHIP_CHANGED,
            LogEvent.RANKS_CHANGED, LogEvent.GROUP_LOAD, LogEvent.MAP_ORDER_FAILED, LogEvent.DEFECT,
            LogEvent.LINES_DROPPED,
        ).mapTo(HashSet()) { it.name }
    }
}

private val Duration.millis: Long get() = inWholeMilliseconds

private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull

private fun JsonObject.number(name: String): Long? = (this[name] as? JsonPrimitive)?.longOrNull

private fun JsonElement.shown(): String = (this as? JsonPrimitive)?.content ?: toString()
