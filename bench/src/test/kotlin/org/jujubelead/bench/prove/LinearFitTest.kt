package org.jujubelead.bench.prove

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LinearFitTest {
    /** Guards against swapped axes and a residual that hides the worst point. */
    @Test
    fun `a fit finds the line and its worst point`() {
        expectThat(LinearFit.of(listOf(Point(0.0, 1.0), Point(2.0, 5.0)))).isEqualTo(LinearFit(1.0, 2.0, 0.0))
        expectThat(LinearFit.of(listOf(Point(0.0, 0.0), Point(1.0, 3.0), Point(2.0, 0.0))).largestResidual)
            .isEqualTo(2.0)
        assertThrows<IllegalArgumentException> { LinearFit.of(listOf(Point(1.0, 1.0), Point(1.0, 2.0))) }
    }
}
