package org.jujubelead.core.drain

import org.jujubelead.core.ids.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class DrainPlanTest {
    private val start = Instant.parse("2026-11-02T22:00:00Z")
    private val window = MaintenanceWindow(ZoneId("a"), start, start + 120.minutes)
    private val capacities = listOf("a", "b", "c").map { ZoneCapacity(ZoneId(it), "chat", 64.0) }

    private fun plan(load: Double) =
        DrainPlan.of(window, 10.minutes, remainingWork = null, capacities, listOf(ExpectedLoad("chat", load)))

    /** Guards against requests that are still in progress when the maintenance window begins (P6). */
    @Test
    fun `the drain starts earlier by the maximum of the configured lead and the measured remaining work`() {
        expectThat(DrainPlan.of(window, 10.minutes, 30.seconds).drainAt).isEqualTo(start - 10.minutes)
        expectThat(DrainPlan.of(window, 10.minutes, 25.minutes).drainAt).isEqualTo(start - 25.minutes)
    }

    @Test
    fun `the zone drains until the end of the window`() {
        val plan = plan(load = 1.0)
        expectThat(plan.isDraining(plan.drainAt - 1.seconds)).isFalse()
        expectThat(plan.isDraining(plan.drainAt)).isTrue()
        expectThat(plan.isDraining(window.end - 1.seconds)).isTrue()
        expectThat(plan.isDraining(window.end)).isFalse()
    }

    @Test
    fun `the operator is told whether the other zones can handle the load`() {
        expectThat(plan(load = 115.0).hasEnoughCapacity).isTrue()
        val short = plan(load = 130.0)
        expectThat(short.hasEnoughCapacity).isFalse()
        expectThat(short.checks.single().message).contains("only 115 requests at once, 130 are expected (15 too many)")
    }

    /** Guards against counting the capacity of a zone that is drained at the same time. */
    @Test
    fun `a zone with an overlapping window provides no capacity`() {
        val other = MaintenanceWindow(ZoneId("b"), window.end - 5.minutes, window.end + 60.minutes)
        val plan = DrainPlan.of(window, 10.minutes, null, capacities, listOf(ExpectedLoad("chat", 60.0)), listOf(other))
        expectThat(plan.checks.single().remaining).isEqualTo(64.0 * DrainPlan.USABLE_FRACTION)
    }
}
