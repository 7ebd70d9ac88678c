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

/** Load: frequent reports with a few preferred experts, which a shift replaces, and random noise in the counts. */
class ExpertDemandTest {
    private val experts = 100
    private val demand = ExpertDemand(sets = 1, experts = experts, decayTime = 1.5.seconds)
    private val random = Random(1)
    private var now = Timestamp.ZERO

    /** Ten preferred experts starting with [first] have half of the choices; each count varies by up to a fifth. */
    private fun report(first: Int) {
        now += 50.milliseconds
        val counts = List(experts) { e ->
            val mean = if ((e - first).mod(experts) < 10) 450.0 else 50.0
            (mean * random.nextDouble(0.8, 1.2)).toInt()
        }
        demand.recordChoices(0, counts, now)
    }

    /** Guards against a map for a mixture of old and new demand. */
    @Test
    fun `choices before a shift are discarded within half a second`() {
        repeat(60) { report(first = 0) }
        repeat(8) { report(first = 50) }
        expectThat(demand.shares(0)[0]).isGreaterThan(demand.shares(0)[50])
        demand.discardBeforeShift()
        expectThat(demand.shares(0)[50]).isGreaterThan(demand.shares(0)[0] * 2)
    }

    /** Guards against discarding earlier choices because of the noise of a few requests. */
    @Test
    fun `noise is not a shift`() {
        repeat(60) { report(first = 0) }
        expectThat(demand.drift(0)).isLessThan(0.1)
        val before = demand.shares(0)
        demand.discardBeforeShift()
        expectThat(demand.shares(0)).isEqualTo(before)
    }

    /** Guards against a division by zero before the first choices. */
    @Test
    fun `shares and drift are zero without choices`() {
        expectThat(demand.shares(0).sum()).isEqualTo(0.0)
        expectThat(demand.drift(0)).isEqualTo(0.0)
    }
}
