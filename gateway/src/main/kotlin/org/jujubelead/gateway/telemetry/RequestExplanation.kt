/**
 * Explains the outcome of a request from the log lines of all processes.
 *
 * In addition to the lines of the request, the explanation lists the state changes of processes at that time, which
 * usually contain the cause of a refusal or an aborted stream. Lines may have a prefix before their JSON object, as log
 * collectors add one.
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

/** @param lines log lines; others are skipped. */
public class RequestExplanation(lines: Sequence<String>) {
    private class Line(val millis: Long, val fields: JsonObject) {
        val event: String = fields.text("event").orEmpty()
        val instance: String = fields.text("instance").orEmpty()

        fun format(since: Long): String {
            val details = fields.entries.filter {
                it.key !in COMMON_FIELDS
            }.joinToString(" ") { (k, v) -> "$k=${v.format()}" }
            return "%+7d ms  %-24s %-20s %s".format(millis - since, instance, event, details).trimEnd()
        }
    }

    private val all: List<Line> = lines.mapNotNull(::parse).sortedBy { it.millis }.toList()

    /** Returns the explanation of [request] line by line; null if no log line has its id. */
    public fun explain(request: String): List<String>? {
        val found = all.filter { it.fields.text("request") == request }
        val first = found.firstOrNull() ?: return null
        val arrived = found.minOf { it.millis - (it.fields.number("millis") ?: it.fields.number("afterMillis") ?: 0) }
        val last = found.last().millis
        val nearby = all.filter { it.event in CHANGES && it.millis in arrived - WINDOW.millis..last + WINDOW.millis }
        return buildList {
            add("request $request at ${first.instance}, times relative to its arrival")
            found.forEach { add("  " + it.format(arrived)) }
            if (nearby.isNotEmpty()) add("state changes of processes from $WINDOW before to $WINDOW after it")
            nearby.forEach { add("  " + it.format(arrived)) }
        }
    }

    private fun parse(line: String): Line? {
        val start = line.indexOf('{')
        if (start < 0) return null
        val fields = try {
            Json.parseToJsonElement(line.substring(start)) as? JsonObject
        } catch (_: SerializationException) {
            null // A line of another program, or one that was truncated when its process exited.
        }
        return fields?.number("time")?.let { Line(it, fields) }
    }

    private companion object {
        /** Leases, readiness and replica lists lag behind their cause by a second or two. */
        val WINDOW: Duration = 2.seconds

        /** Fields that are not repeated among the details of a line. */
        val COMMON_FIELDS = setOf("time", "instance", "code", "event", "request")

        /** Events that change the state of a process. */
        val CHANGES = setOf(
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

private fun JsonElement.format(): String = (this as? JsonPrimitive)?.content ?: toString()
