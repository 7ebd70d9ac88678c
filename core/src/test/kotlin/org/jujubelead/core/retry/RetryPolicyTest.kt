package org.jujubelead.core.retry

import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.membership.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RetryPolicyTest {
    private val workspace = WorkspaceId("w")
    private val policy = RetryPolicy()

    private fun failed(failure: AttemptFailure, attempts: Int = 1, retriedDownstream: Boolean = false) =
        FailedAttempt(failure, workspace, attempts, seconds(10), retriedDownstream)

    private fun fullBudget() = RetryBudget().apply { repeat(100) { requestStarted(workspace) } }

    private fun decide(failed: FailedAttempt, budget: RetryBudget = fullBudget(), at: Int = 1) =
        policy.next(failed, idempotent = true, possiblyHandedOver = true, budget, seconds(at))

    private fun giveUp(reason: GiveUpReason) = RetryDecision.GiveUp(reason, notRun = false)

    /** Guards against running a non-idempotent request twice (property P4). */
    @Test
    fun `a non-idempotent request that may have been handed over is never retried`(): Unit = runBlocking {
        checkAll(500, Arb.enum<AttemptFailure>(), Arb.int(0..3), Arb.boolean(), Arb.int(0..20)) {
                failure,
                attempts,
                retriedDownstream,
                at,
            ->
            val decision = policy.next(
                failed(failure, attempts, retriedDownstream),
                idempotent = false,
                possiblyHandedOver = true,
                fullBudget(),
                seconds(at),
            )
            expectThat(decision).isEqualTo(giveUp(GiveUpReason.NOT_SAFE))
        }
    }

    /** Guards against reporting `not-run` for a request that may have run (property P3). */
    @Test
    fun `not-run is reported only when nothing was handed over`(): Unit = runBlocking {
        checkAll(300, Arb.enum<AttemptFailure>(), Arb.boolean(), Arb.boolean()) { failure, idempotent, handedOver ->
            val decision = policy.next(failed(failure, attempts = 9), idempotent, handedOver, fullBudget(), seconds(1))
            expectThat((decision as RetryDecision.GiveUp).notRun).isEqualTo(!handedOver)
        }
    }

    @Test
    fun `a retry keeps the deadline of the request`() {
        expectThat(decide(failed(AttemptFailure.CONNECTION_LOST))).isEqualTo(RetryDecision.Retry(seconds(10)))
        expectThat(decide(failed(AttemptFailure.CONNECTION_LOST), at = 10)).isEqualTo(giveUp(GiveUpReason.DEADLINE))
    }

    private fun emptyBudget() = RetryBudget(
        totalRatio = 0.0,
        workspaceRatio = 0.0,
        maxTotalTokens = 0.0,
        maxWorkspaceTokens = 0.0,
    )

    /** Guards against retries that multiply along the path. */
    @Test
    fun `a request that was retried downstream is not retried`() {
        expectThat(
            decide(failed(AttemptFailure.CONNECTION_LOST, retriedDownstream = true)),
        ).isEqualTo(giveUp(GiveUpReason.OTHER_LEVEL))
    }

    @Test
    fun `attempts and budget limit retries`() {
        expectThat(
            decide(failed(AttemptFailure.CONNECTION_LOST, attempts = 3)),
        ).isEqualTo(giveUp(GiveUpReason.ATTEMPTS))
        expectThat(decide(failed(AttemptFailure.CONNECTION_LOST), emptyBudget())).isEqualTo(giveUp(GiveUpReason.BUDGET))
    }

    /** Guards against failed requests during a planned shutdown when the budget is exhausted. */
    @Test
    fun `a refusal by a leaving target needs no budget`() {
        expectThat(
            decide(failed(AttemptFailure.REFUSED_LEAVING), emptyBudget()),
        ).isEqualTo(RetryDecision.Retry(seconds(10)))
    }

    @Test
    fun `a request without a claim is not retried`() {
        expectThat(decide(failed(AttemptFailure.CLAIM_UNAVAILABLE))).isEqualTo(giveUp(GiveUpReason.NOT_USEFUL))
    }
}
