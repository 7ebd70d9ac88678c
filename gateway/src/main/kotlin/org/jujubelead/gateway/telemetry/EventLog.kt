/**
 * Structured log on standard output: one JSON object per line.
 *
 * Logging never blocks: lines go into a bounded buffer that one thread writes out, and are dropped and counted when the
 * buffer is full. Lines of non-essential events are rate-limited, so that the failure of each request can be explained
 * even under load. Log4j is not used, since its initialization takes longer than that of the rest of the process.
 */
package org.jujubelead.gateway.telemetry

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** @param maxLinesPerSecond rate limit of non-essential lines. */
public class EventLog(
    private val out: PrintStream = System.out,
    private val instance: String = "",
    private val maxLinesPerSecond: Int = MAX_LINES_PER_SECOND,
) {
    private val lines = ArrayBlockingQueue<String>(BUFFERED_LINES)
    private val dropped = AtomicLong()
    private val second = AtomicLong()
    private val linesOfSecond = AtomicLong()

    /** Starts the writer thread. */
    public fun start(): EventLog = apply {
        Thread(::writeLoop, "event-log").apply { isDaemon = true }.start()
    }

    /** Logs [event] with the given names and values. Null values are left out. */
    public fun log(event: LogEvent, vararg fields: Pair<String, Any?>) {
        if (!event.essential && !withinRate()) return
        if (!lines.offer(line(event, fields))) dropped.incrementAndGet()
    }

    /** Writes all buffered lines. Called before the process exits. */
    @Synchronized
    public fun flush() {
        val batch = StringBuilder()
        while (true) batch.append(lines.poll() ?: break)
        val lost = dropped.getAndSet(0)
        if (lost > 0) batch.append(line(LogEvent.LINES_DROPPED, arrayOf("count" to lost)))
        if (batch.isEmpty()) return
        out.print(batch)
        out.flush()
    }

    private fun writeLoop() {
        while (true) {
            val first = lines.poll(1, TimeUnit.SECONDS)
            if (first != null) {
                synchronized(this) { out.print(first) }
                flush()
            }
            Thread.sleep(WRITE_INTERVAL_MILLIS)
        }
    }

    private fun withinRate(): Boolean {
        val now = System.nanoTime() / NANOS_PER_SECOND
        if (second.getAndSet(now) != now) linesOfSecond.set(0)
        return linesOfSecond.incrementAndGet() <= maxLinesPerSecond
    }

    private fun line(event: LogEvent, fields: Array<out Pair<String, Any?>>): String = buildString {
        append("{\"time\":").append(System.currentTimeMillis())
        append(",\"instance\":\"").append(instance)
        append("\",\"code\":\"").append(event.code).append("\",\"event\":\"").append(event.name).append('"')
        for ((name, value) in fields) {
            if (value == null) continue
            append(",\"").append(name).append("\":")
            if (value is Number || value is Boolean) append(value) else quote(value.toString())
        }
        append("}\n")
    }

    private fun StringBuilder.quote(text: String) {
        append('"')
        for (c in text) {
            when {
                c == '"' || c == '\\' -> append('\\').append(c)
                c < ' ' -> append("\\u%04x".format(c.code))
                else -> append(c)
            }
        }
        append('"')
    }

    private companion object {
        /** Holds a few seconds of output of a busy instance, about 1 MB. */
        const val BUFFERED_LINES = 4096

        /** Limits logging to less than 1 % of a core, at about 10 microseconds per line. */
        const val MAX_LINES_PER_SECOND = 200

        /** Batches lines to reduce thread wake-ups. */
        const val WRITE_INTERVAL_MILLIS = 200L
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
