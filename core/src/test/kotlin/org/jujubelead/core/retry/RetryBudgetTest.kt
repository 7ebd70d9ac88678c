package org.jujubelead.core.retry

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.WorkspaceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class RetryBudgetTest {
    private val steps = Arb.list(Arb.pair(Arb.int(0..3), Arb.int(0..5)), 1..300)

    /** Guards against retries that amplify an overload. */
    @Test
    fun `retries never exceed the budget`(): Unit = runBlocking {
        checkAll(300, steps) { expectThat(exceeded(it, RetryBudget())).isFalse() }
    }

    @Test
    fun `the check fails with a larger budget`(): Unit = runBlocking {
        val storm = List(100) { 0 to 5 }
        expectThat(exceeded(storm, RetryBudget(totalRatio = 1.0, workspaceRatio = 1.0))).isTrue()
    }

    /** Each step is a request of a workspace and the number of retries it attempts. */
    private fun exceeded(steps: List<Pair<Int, Int>>, budget: RetryBudget): Boolean {
        val requests = IntArray(4)
        val retries = IntArray(4)
        return steps.any { (workspace, retryAttempts) ->
            val id = WorkspaceId("w$workspace")
            budget.requestStarted(id)
            requests[workspace]++
            repeat(retryAttempts) { if (budget.tryTake(id)) retries[workspace]++ }
            retries.sum() > TOTAL_RESERVE + 0.1 * requests.sum() + ROUNDING ||
                retries[workspace] > WORKSPACE_RESERVE + 0.2 * requests[workspace] + ROUNDING
        }
    }

    /** Guards against a deployment with little traffic that cannot move its first stream away from a failed target. */
    @Test
    fun `the first request can be retried`() {
        val budget = RetryBudget()
        budget.requestStarted(WorkspaceId("w"))
        expectThat(budget.tryTake(WorkspaceId("w"))).isTrue()
    }

    /** Guards against a large burst of retries after a long period without failures. */
    @Test
    fun `saved tokens are bounded`() {
        val budget = RetryBudget(maxTotalTokens = 5.0, maxWorkspaceTokens = 3.0)
        repeat(1000) { budget.requestStarted(WorkspaceId("w")) }
        expectThat((1..10).count { budget.tryTake(WorkspaceId("w")) }).isEqualTo(3)
    }

    private companion object {
        const val ROUNDING = 1e-6
        const val TOTAL_RESERVE = 50.0
        const val WORKSPACE_RESERVE = 10.0
    }
}
