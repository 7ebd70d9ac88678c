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

    private fun failed(failure: AttemptFailure, attempts: Int = 1, below: Boolean = false) =
        FailedAttempt(failure, workspace, attempts, seconds(10), below)

    private fun funded() = RetryBudget().apply { repeat(100) { requestStarted(workspace) } }

    private fun decide(failed: FailedAttempt, budget: RetryBudget = funded(), at: Int = 1) =
        policy.next(failed, idempotent = true, possiblyHandedOver = true, budget, seconds(at))

    private fun giveUp(reason: GiveUpReason) = RetryDecision.GiveUp(reason, notRun = false)

    /** Guards against running an action twice (P4). */
    @Test
    fun `a non-idempotent request that may have been handed over is never tried again`(): Unit = runBlocking {
        checkAll(500, Arb.enum<AttemptFailure>(), Arb.int(0..3), Arb.boolean(), Arb.int(0..20)) {
                failure,
                attempts,
                below,
                at,
            ->
            val decision = policy.next(
                failed(failure, attempts, below),
                idempotent = false,
                possiblyHandedOver = true,
                funded(),
                seconds(at),
            )
            expectThat(decision).isEqualTo(giveUp(GiveUpReason.NOT_SAFE))
        }
    }

    /** Guards against saying `not-run` of a request that may have run (P3). */
    @Test
    fun `not-run is said only when nothing was handed over`(): Unit = runBlocking {
        checkAll(300, Arb.enum<AttemptFailure>(), Arb.boolean(), Arb.boolean()) { failure, idempotent, handedOver ->
            val decision = policy.next(failed(failure, attempts = 9), idempotent, handedOver, funded(), seconds(1))
            expectThat((decision as RetryDecision.GiveUp).notRun).isEqualTo(!handedOver)
        }
    }

    @Test
    fun `a retry keeps the deadline of the request`() {
        expectThat(decide(failed(AttemptFailure.CONNECTION_LOST))).isEqualTo(RetryDecision.Retry(seconds(10)))
        expectThat(decide(failed(AttemptFailure.CONNECTION_LOST), at = 10)).isEqualTo(giveUp(GiveUpReason.DEADLINE))
    }

    private fun spent() = RetryBudget(
        totalRatio = 0.0,
        workspaceRatio = 0.0,
        maxTotalTokens = 0.0,
        maxWorkspaceTokens = 0.0,
    )

    /** Guards against retries that multiply along the path. */
    @Test
    fun `nothing is tried again that another level tried again`() {
        expectThat(
            decide(failed(AttemptFailure.CONNECTION_LOST, below = true)),
        ).isEqualTo(giveUp(GiveUpReason.OTHER_LEVEL))
    }

    @Test
    fun `attempts and budget bound retries`() {
        expectThat(
            decide(failed(AttemptFailure.CONNECTION_LOST, attempts = 3)),
        ).isEqualTo(giveUp(GiveUpReason.ATTEMPTS))
        expectThat(decide(failed(AttemptFailure.CONNECTION_LOST), spent())).isEqualTo(giveUp(GiveUpReason.BUDGET))
    }

    /** Guards against a planned stop failing requests because the budget is used up. */
    @Test
    fun `a refusal by a leaving target needs no budget`() {
        expectThat(
            decide(failed(AttemptFailure.REFUSED_LEAVING), spent()),
        ).isEqualTo(RetryDecision.Retry(seconds(10)))
    }

    @Test
    fun `a missing claim is not tried again`() {
        expectThat(decide(failed(AttemptFailure.CLAIM_UNAVAILABLE))).isEqualTo(giveUp(GiveUpReason.NOT_USEFUL))
    }
}
