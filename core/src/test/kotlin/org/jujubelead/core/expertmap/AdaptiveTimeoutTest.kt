package org.jujubelead.core.expertmap

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdaptiveTimeoutTest {
    private val timeout = AdaptiveTimeout(min = 300.milliseconds, max = 1_500.milliseconds)

    @Test
    fun `fast answers leave the timeout at its minimum`() {
        repeat(50) { timeout.answered(60.milliseconds) }
        expectThat(timeout.current).isEqualTo(300.milliseconds)
    }

    /** Guards against work that begins again just before its answer arrives. */
    @Test
    fun `the timeout leaves room above the answers that queue on a busy link`() {
        timeout.answered(445.milliseconds)
        expectThat(timeout.current).isGreaterThan(800.milliseconds)
    }

    /** Guards against a delay that is never measured because every call ends before its answer. */
    @Test
    fun `calls without an answer lengthen the timeout up to its maximum`() {
        timeout.expired()
        expectThat(timeout.current).isGreaterThan(300.milliseconds)
        repeat(20) { timeout.expired() }
        expectThat(timeout.current).isEqualTo(1_500.milliseconds)
    }

    /** Guards against a suspended agent that is noticed late because others were slow some time ago. */
    @Test
    fun `the timeout returns to its minimum after a delay`() {
        timeout.answered(2.seconds)
        repeat(60) { timeout.answered(50.milliseconds) }
        expectThat(timeout.current).isLessThanOrEqualTo(300.milliseconds)
    }
}
