package org.jujubelead.gateway.telemetry

import io.netty.channel.DefaultEventLoop
import org.jujubelead.gateway.schedule.scheduleRepeating
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class EventLogTest {
    private val out = ByteArrayOutputStream()
    private val log = EventLog(out = PrintStream(out), instance = "i1", maxLinesPerSecond = 5)

    private fun lines() = out.toString().lines().filter { it.isNotEmpty() }

    /** Guards against events that an operator cannot look up. */
    @Test
    fun `the catalogue lists every event with its code`() {
        val listed = File("../docs/events-platform.md").readLines().filter { it.startsWith("| JJ-") }
            .map { it.split('|').map(String::trim).filter(String::isNotEmpty).take(2) }
        expectThat(listed).isEqualTo(LogEvent.entries.map { listOf(it.code, it.name) })
    }

    /** Guards against invalid JSON when a value contains quotes or control characters. */
    @Test
    fun `values are quoted and null values are left out`() {
        log.log(LogEvent.REQUEST_REFUSED, "request" to "a\"b\n", "status" to 503, "route" to null)
        log.flush()
        expectThat(lines().single()).contains(""""code":"JJ-6202"""")
            .endsWith(""""request":"a\"b\u000a","status":503}""")
    }

    /**
     * Guards against a log volume that grows with the load, and against failures that are dropped by the rate limit.
     */
    @Test
    fun `answered requests are rate-limited, failed ones are not`() {
        repeat(100) { log.log(LogEvent.REQUEST_ANSWERED, "n" to it) }
        repeat(100) { log.log(LogEvent.REQUEST_FAILED, "n" to it) }
        log.flush()
        expectThat(lines().count { "JJ-6201" in it }).isLessThan(11)
        expectThat(lines().count { "JJ-6203" in it }).isEqualTo(100)
    }

    /** Guards against callers that block because the log is not written out. */
    @Test
    fun `a full buffer drops lines and counts them`() {
        repeat(6_000) { log.log(LogEvent.REQUEST_FAILED, "n" to it) }
        log.flush()
        expectThat(lines().last()).contains("JJ-6902").endsWith("\"count\":1904}")
    }

    /** Guards against periodic tasks that are cancelled silently after one exception. */
    @Test
    fun `a task that throws is reported and runs again`() {
        DefectReporter.reportTo(log)
        val loop = DefaultEventLoop()
        val runs = CountDownLatch(3)
        loop.scheduleRepeating(millis = 5, name = "test") {
            runs.countDown()
            error("broken")
        }
        expectThat(runs.await(5, TimeUnit.SECONDS)).isTrue()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
        log.flush()
        expectThat(lines().first()).contains("JJ-6901").contains("broken")
    }
}
