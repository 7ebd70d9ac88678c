package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class SwitchDurationTest {
    private val duration = SwitchDuration()
    private var now = Timestamp.ZERO
    private val version = MapVersion(1)

    private fun change(prepare: Duration, arm: Duration) {
        duration.phaseChanged(ChangePhase.Preparing(version, emptyList(), now), now)
        duration.orderAnswered(prepare)
        now += prepare
        duration.phaseChanged(ChangePhase.Holding(version, emptyList(), step = 1), now)
        now += arm
        duration.allArmed(now)
    }

    /** Guards against a group that is held whenever a switch is slower than the mean. */
    @Test
    fun `the margin covers the slowest recent switch`() {
        change(prepare = 200.milliseconds, arm = 600.milliseconds)
        expectThat(duration.marginSteps(100.milliseconds)).isGreaterThanOrEqualTo(7)
    }

    /** Guards against a hold in the first change after a delay has arisen. */
    @Test
    fun `the margin follows a map that is slower to prepare`() {
        repeat(20) { change(prepare = 200.milliseconds, arm = 60.milliseconds) }
        val usual = duration.marginSteps(50.milliseconds)
        duration.phaseChanged(ChangePhase.Preparing(version, emptyList(), now), now)
        duration.orderAnswered(1_000.milliseconds)
        expectThat(duration.marginSteps(50.milliseconds)).isGreaterThanOrEqualTo(usual * 2)
    }

    /** Guards against a map that stays out of use for a second because maps take longer to prepare than to arm. */
    @Test
    fun `fast switches bring the margin down`() {
        change(prepare = 400.milliseconds, arm = 600.milliseconds)
        repeat(10) { change(prepare = 400.milliseconds, arm = 60.milliseconds) }
        expectThat(duration.marginSteps(50.milliseconds)).isLessThanOrEqualTo(4)
    }

    /** Guards against maps that wait for 24 passes because an instance was suspended during an earlier change. */
    @Test
    fun `a switch that waited for a lost agent does not count`() {
        repeat(20) { change(prepare = 100.milliseconds, arm = 20.milliseconds) }
        val usual = duration.marginSteps(40.milliseconds)
        duration.orderUnanswered()
        duration.phaseChanged(ChangePhase.Holding(version, emptyList(), step = 1), now)
        now += 4_200.milliseconds
        duration.allArmed(now)
        change(prepare = 100.milliseconds, arm = 20.milliseconds)
        expectThat(duration.marginSteps(40.milliseconds)).isEqualTo(usual)
    }

    @Test
    fun `a switch is recorded once`() {
        change(prepare = 100.milliseconds, arm = 100.milliseconds)
        expectThat(duration.allArmed(now)).isEqualTo(null)
    }
}
