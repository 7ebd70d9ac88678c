package org.jujubelead.core.expertmap

import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The load: ranks that report twice a second, with favourites that a shift replaces, and topics that blur shares. */
class ExpertDemandTest {
    private val experts = 100
    private val demand = ExpertDemand(sets = 1, experts = experts, decayTime = 1.5.seconds)
    private val random = Random(1)
    private var now = Timestamp.ZERO

    /** Ten favourites from [first] on have half of the choices; each report varies by a fifth. */
    private fun report(first: Int) {
        now += 50.milliseconds
        val counts = List(experts) { e ->
            val mean = if ((e - first).mod(experts) < 10) 450.0 else 50.0
            (mean * random.nextDouble(0.8, 1.2)).toInt()
        }
        demand.recordChoices(0, counts, now)
    }

    /** Guards against a map for a mixture of what was and what is in demand. */
    @Test
    fun `what was before a shift is forgotten within half a second`() {
        repeat(60) { report(first = 0) }
        repeat(8) { report(first = 50) }
        expectThat(demand.shares(0)[0]).isGreaterThan(demand.shares(0)[50])
        demand.discardBeforeShift()
        expectThat(demand.shares(0)[50]).isGreaterThan(demand.shares(0)[0] * 2)
    }

    /** Guards against a memory that is lost to the noise of a few requests. */
    @Test
    fun `noise is not a shift`() {
        repeat(60) { report(first = 0) }
        expectThat(demand.drift(0)).isLessThan(0.1)
        val before = demand.shares(0)
        demand.discardBeforeShift()
        expectThat(demand.shares(0)).isEqualTo(before)
    }

    /** Guards against a division by nothing before the first choices. */
    @Test
    fun `without choices there are no shares`() {
        expectThat(demand.shares(0).sum()).isEqualTo(0.0)
        expectThat(demand.drift(0)).isEqualTo(0.0)
    }
}
