package org.jujubelead.claims

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 1_000L
private const val OWNER_FAULT_SEEDS = 150L
private const val DEFECT_SEEDS = 1_000L
private val RUN_DURATION = 50.seconds

/** Checks seeded histories with injected faults against the guarantees P3 (not-run) and P4 (at-most-once). */
class ClaimHistoriesTest {
    private class Result(
        val outcomes: Map<CallOutcome, Int>,
        val runs: Int,
        val injectedFaults: Int,
        val violations: List<String>,
    )

    private fun history(seed: Long, defect: Defect? = null, faultKinds: List<Int>? = null): Result {
        var result: Result? = null
        runTest {
            val cluster = SimulatedCluster(this, seed, defect, faultKinds)
            cluster.run(RUN_DURATION)
            val history = cluster.history
            result = Result(
                outcomes = history.answers.groupingBy { it.outcome }.eachCount(),
                runs = history.runs.size,
                injectedFaults = cluster.injectedFaults,
                violations = history.notRunViolations().map { "P3 $it" } +
                    history.atMostOnceViolations().map { "P4 $it" } +
                    history.logViolations(cluster.loggedAttempts()).map { "log $it" },
            )
        }
        return result!!
    }

    /** Guards against a second run of a key, and against a run after the answer `not-run`, while two faults overlap. */
    @Test
    fun `no history violates not-run or at-most-once`() {
        val results = (0 until SEEDS).associateWith { history(it) }
        expectThat(results.filterValues { it.violations.isNotEmpty() }.map { (seed, r) -> "$seed: ${r.violations}" })
            .isEmpty()
        val outcomes = CallOutcome.entries.associateWith { t -> results.values.sumOf { it.outcomes[t] ?: 0 } }
        println(
            "$SEEDS histories: outcomes $outcomes, ${results.values.sumOf { it.runs }} runs, " +
                "${results.values.sumOf { it.injectedFaults }} faults",
        )
        // The check is meaningful only if every outcome occurs often.
        CallOutcome.entries.forEach { expectThat(outcomes.getValue(it)).isGreaterThan(SEEDS.toInt()) }
    }

    /** Guards against a log fence that does not hold when the owner of a shard is frozen during a write. */
    @Test
    fun `no history with frozen owners and late writes violates a guarantee`() {
        val results = (0 until OWNER_FAULT_SEEDS).associateWith { history(it, faultKinds = OWNER_FAULTS) }
        expectThat(results.filterValues { it.violations.isNotEmpty() }.map { (seed, r) -> "$seed: ${r.violations}" })
            .isEmpty()
    }

    /** Guards against checkers that miss violations: each one must detect the removal of the mechanisms it covers. */
    @ParameterizedTest
    @EnumSource(Defect::class)
    internal fun `the checkers detect the removal of each mechanism`(defect: Defect) {
        val faultKinds = if (defect == Defect.NO_FENCE) OWNER_FAULTS else null
        val detected = (0 until DEFECT_SEEDS).firstNotNullOfOrNull { seed ->
            history(seed, defect, faultKinds).violations.firstOrNull {
                it.startsWith(defect.detectedBy)
            }?.let { "seed $seed: $it" }
        }
        println("$defect: $detected")
        expectThat(detected).isNotNull()
    }
}
