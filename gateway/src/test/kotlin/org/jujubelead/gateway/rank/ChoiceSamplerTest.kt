package org.jujubelead.gateway.rank

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ChoiceSamplerTest {
    /** Guards against a shift of demand that is hidden by choices from before it. */
    @Test
    fun `a sample covers only what was chosen since it began`() {
        val sampler = ChoiceSampler()
        sampler.sample(listOf(0, 0, 0, 0), sets = 2, rank = 0)
        sampler.begin(listOf(90, 10, 90, 10))
        val sample = sampler.sample(listOf(91, 19, 91, 19), sets = 2, rank = 0)
        expectThat(sample.choices).isEqualTo(listOf(1, 9, 1, 9))
    }

    /** Guards against negative shares after a restart of the replica. */
    @Test
    fun `the counts of a restarted rank begin a new sample`() {
        val sampler = ChoiceSampler()
        sampler.begin(listOf(90, 10))
        expectThat(sampler.sample(listOf(5, 5), sets = 1, rank = 0).choices).isEmpty()
        expectThat(sampler.sample(listOf(7, 6), sets = 1, rank = 0).choices).isEqualTo(listOf(2, 1))
    }
}
