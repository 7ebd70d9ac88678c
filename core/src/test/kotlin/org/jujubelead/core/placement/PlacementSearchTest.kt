package org.jujubelead.core.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class PlacementSearchTest {
    /** Guards against a search that considers other ranks or experts than the most and the least loaded ones. */
    @Test
    fun `the largest and smallest values are those of a stable sort`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val values = DoubleArray(random.nextInt(1, 40)) { random.nextInt(8).toDouble() }
            val sorted = values.indices.sortedByDescending { values[it] }
            for (count in 0..values.size + 1) {
                expectThat(largest(values, count).toList()).isEqualTo(sorted.take(count))
                expectThat(smallest(values, count).toList()).isEqualTo(sorted.takeLast(count))
            }
        }
    }
}
