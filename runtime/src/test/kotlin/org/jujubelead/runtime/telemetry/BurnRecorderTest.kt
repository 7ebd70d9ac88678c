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

    /** Guards against a burn rate that mixes up late, failed and on-time requests, or workspaces. */
    @Test
    fun `levels are counted per workspace`() {
        ServiceLevel.entries.forEach { record(it) }
        record(ServiceLevel.LATE)
        val sum = recorder.sum(WORKSPACE, 5.minutes)
        expectThat(listOf(sum.total, sum.late, sum.failed, sum.latency.totalCount)).isEqualTo(listOf(4L, 2, 1, 4))
        expectThat(recorder.sum(WorkspaceId("other"), 5.minutes).total).isEqualTo(0)
    }

    /** Guards against old requests that keep an alert burning, and recent ones that are left out. */
    @Test
    fun `a window covers its minutes and no earlier ones`() {
        record()
        now += 4.minutes
        record()
        expectThat(recorder.sum(WORKSPACE, 4.minutes).total).isEqualTo(1)
        expectThat(recorder.sum(WORKSPACE, 5.minutes).total).isEqualTo(2)
        now += 1.minutes
        expectThat(recorder.sum(WORKSPACE, 5.minutes).total).isEqualTo(1)
    }

    /** Guards against memory that grows with time, and against an hour that is cut short. */
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

    /** Guards against memory and metrics for workspaces that no longer send requests. */
    @Test
    fun `a workspace without requests in the last hour is not listed`() {
        record()
        now += 2.hours
        expectThat(recorder.workspaces()).isEmpty()
    }
}
