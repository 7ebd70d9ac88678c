package org.jujubelead.gateway.store

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(120)
class StoreReturnTest {
    private fun between(random: Random, from: Duration, to: Duration) = from + (to - from) * random.nextDouble()

    /** Guards against gateways that refuse everything until the next change of the configuration. */
    @Test
    fun `service goes on after a return although nothing is changed afterwards`() {
        val run = StoreReturnRun(
            seed = 1,
            returns = listOf(StoreReturn(at = 13.5.seconds, outage = 1.seconds, copyAge = 7.seconds)),
            changes = listOf(5.seconds, 8.seconds, 10.seconds, 12.seconds),
        )
        expectThat(run.run()).isEmpty()
    }

    /** Guards against a change that is not noticed because its revision was known from before a return. */
    @Test
    fun `a change at a revision that was given out before is in force within the bound`() {
        val run = StoreReturnRun(
            seed = 1,
            returns = listOf(
                StoreReturn(at = 12.seconds, outage = 1.seconds, copyAge = 3.seconds),
                StoreReturn(at = 19.seconds, outage = 1.seconds, copyAge = 12.seconds),
            ),
            changes = listOf(5.0, 8.0, 10.5, 15.0, 16.5, 18.5, 23.0, 25.0).map { it.seconds },
        )
        expectThat(run.run()).isEmpty()
    }

    /** Guards against configurations that are late, older or lost, in any order of returns, changes and restarts. */
    @Test
    fun `confirmed configurations are in force in time and never replaced by older ones`() {
        expectThat((1..SEEDS).flatMap { seed -> run(seed).map { "seed $seed, $it" } }).isEmpty()
    }

    private fun run(seed: Int): List<String> {
        val random = Random(seed)
        val returns = ArrayList<StoreReturn>()
        var next = between(random, 7.seconds, 12.seconds)
        repeat(1 + random.nextInt(3)) {
            val outage = between(random, 100.milliseconds, 3.seconds)
            returns += StoreReturn(next, outage, copyAge = between(random, 500.milliseconds, 12.seconds))
            next += outage + between(random, 500.milliseconds, 7.seconds)
        }
        val lastChange = if (random.nextBoolean()) returns.last().at else StoreReturnRun.END
        val changes = List(random.nextInt(15)) { between(random, 2.seconds, lastChange) }.sorted()
        return StoreReturnRun(
            seed = seed,
            returns = returns,
            changes = changes,
            restarts = List(random.nextInt(3)) { between(random, 2.seconds, 25.seconds) },
            maxRewriteDelay = between(random, Duration.ZERO, 2.seconds),
            slowShare = if (random.nextInt(3) == 0) 0.05 else 0.0,
        ).run()
    }

    private companion object {
        /** More seeds are run by hand with this variable. */
        val SEEDS = System.getenv("STORE_RETURN_SEEDS")?.toInt() ?: 200
    }
}
