package org.jujubelead.runtime.telemetry

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

private val WORKSPACE = WorkspaceId("w")

class BurnRecorderTest {
    private var now = Timestamp.ZERO
    private val recorder = BurnRecorder { now }

    private fun record(level: ServiceLevel = ServiceLevel.ON_TIME) = recorder.record(WORKSPACE, level, 20.milliseconds)

    /** Guards against a wrong burn rate when levels or workspaces share a counter. */
    @Test
    fun `levels are counted per workspace`() {
        ServiceLevel.entries.forEach { record(it) }
        record(ServiceLevel.LATE)
        val sum = recorder.sum(WORKSPACE, 5.minutes)
        expectThat(listOf(sum.total, sum.late, sum.failed, sum.latency.totalCount)).isEqualTo(listOf(4L, 2, 1, 4))
        expectThat(recorder.sum(WorkspaceId("other"), 5.minutes).total).isEqualTo(0)
    }

    /** Guards against alerts that stay active for old requests, and against windows that omit recent requests. */
    @Test
    fun `a window includes only its own minutes`() {
        record()
        now += 4.minutes
        record()
        expectThat(recorder.sum(WORKSPACE, 4.minutes).total).isEqualTo(1)
        expectThat(recorder.sum(WORKSPACE, 5.minutes).total).isEqualTo(2)
        now += 1.minutes
        expectThat(recorder.sum(WORKSPACE, 5.minutes).total).isEqualTo(1)
    }

    /** Guards against unbounded memory growth, and against a retention of less than one hour. */
    @Test
    fun `the last hour is kept`() {
        repeat(90) {
            record()
            now += 1.minutes
        }
        now -= 1.minutes
        expectThat(recorder.sum(WORKSPACE, 1.hours).total).isEqualTo(60)
        expectThat(recorder.sum(WORKSPACE, 2.hours).total).isEqualTo(60)
    }

    /** Guards against memory and report entries that remain for inactive workspaces. */
    @Test
    fun `a workspace without requests in the last hour is not listed`() {
        record()
        now += 2.hours
        expectThat(recorder.workspaces()).isEmpty()
    }
}
