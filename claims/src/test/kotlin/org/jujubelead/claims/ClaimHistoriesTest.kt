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
private const val OWNER_SEEDS = 150L
private const val DEFECT_SEEDS = 1_000L
private val SPAN = 50.seconds

/** Seeded histories with faults, checked against P3 (not-run) and P4 (at-most-once). */
class ClaimHistoriesTest {
    private class Result(val told: Map<Told, Int>, val runs: Int, val injected: Int, val violations: List<String>)

    private fun history(seed: Long, defect: Defect? = null, kinds: List<Int>? = null): Result {
        var result: Result? = null
        runTest {
            val world = SimulatedWorld(this, seed, defect, kinds)
            world.run(SPAN)
            val history = world.history
            result = Result(
                told = history.answers.groupingBy { it.told }.eachCount(),
                runs = history.runs.size,
                injected = world.injected,
                violations = history.violationsOfNotRun().map { "P3 $it" } +
                    history.violationsOfAtMostOnce().map { "P4 $it" } +
                    history.violationsOfLog(world.loggedAttempts()).map { "log $it" },
            )
        }
        return result!!
    }

    /** Guards against a second run of a key and against a run after `not-run`, under two faults at a time. */
    @Test
    fun `no history violates not-run or at-most-once`() {
        val results = (0 until SEEDS).associateWith { history(it) }
        expectThat(results.filterValues { it.violations.isNotEmpty() }.map { (seed, r) -> "$seed: ${r.violations}" })
            .isEmpty()
        val told = Told.entries.associateWith { t -> results.values.sumOf { it.told[t] ?: 0 } }
        println(
            "$SEEDS histories: told $told, ${results.values.sumOf { it.runs }} runs, " +
                "${results.values.sumOf { it.injected }} faults",
        )
        // The histories are worth something only when all outcomes occur often.
        Told.entries.forEach { expectThat(told.getValue(it)).isGreaterThan(SEEDS.toInt()) }
    }

    /** Guards against a fence that fails when the owner of a shard is frozen in the middle of a write. */
    @Test
    fun `no history of frozen owners and late writes violates a promise`() {
        val results = (0 until OWNER_SEEDS).associateWith { history(it, kinds = FAULTS_OF_OWNERS) }
        expectThat(results.filterValues { it.violations.isNotEmpty() }.map { (seed, r) -> "$seed: ${r.violations}" })
            .isEmpty()
    }

    /** Guards against checkers that see nothing: each mechanism left out must be seen. */
    @ParameterizedTest
    @EnumSource(Defect::class)
    internal fun `the checkers see each mechanism that is left out`(defect: Defect) {
        val kinds = if (defect == Defect.NO_FENCE) FAULTS_OF_OWNERS else null
        val seen = (0 until DEFECT_SEEDS).firstNotNullOfOrNull { seed ->
            history(seed, defect, kinds).violations.firstOrNull {
                it.startsWith(defect.seenBy)
            }?.let { "seed $seed: $it" }
        }
        println("$defect: $seen")
        expectThat(seen).isNotNull()
    }
}
