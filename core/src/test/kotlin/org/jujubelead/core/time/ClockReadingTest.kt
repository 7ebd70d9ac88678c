package org.jujubelead.core.time

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class ClockReadingTest {
    private val proof = ClockReading(Timestamp.ZERO, wallMillis = 100_000)

    /** Guards against accepting API keys for too long after the instance was suspended. */
    @Test
    fun `a suspension counts although the monotonic clock stopped`() {
        val resumed = ClockReading(Timestamp.ZERO + 1.seconds, wallMillis = 106_000)
        expectThat(resumed.since(proof)).isEqualTo(6.seconds)
    }

    /** Guards against ages that decrease when the wall clock is set back. */
    @Test
    fun `setting the wall clock back does not reduce the age`() {
        val setBack = ClockReading(Timestamp.ZERO + 4.seconds, wallMillis = 90_000)
        expectThat(setBack.since(proof)).isEqualTo(4.seconds)
    }
}
