/**
 * Runs non-idempotent calls with an idempotency key. The key is claimed before dispatch; a repeated request with the
 * same key gets the answer of the attempt that holds the key.
 *
 * Only the attempt named in a claim is sent, once, to the agent named in the claim. It is replaced by another attempt
 * only after that agent has confirmed that it will never run.
 */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import org.jujubelead.claims.ClaimService
import org.jujubelead.core.claim.ClaimDecision
import org.jujubelead.core.claim.ClaimKey
import org.jujubelead.core.claim.ClaimRequest
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.claim.RequestHash
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.routing.RoutingDecision
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.protocol.AttemptState
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.runtime.agent.toTick
import org.jujubelead.runtime.agent.toTimestamp
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Claims per request. Each one after the first follows a confirmation that the previous attempt has not run. */
private const val MAX_CLAIM_ATTEMPTS = 4

/** Delay before the answer of an attempt that another request started is requested again. */
private val REATTACH_DELAY: Duration = 100.milliseconds

/** In characters. */
private const val MAX_KEY_LENGTH = 256

internal class IdempotencyKeyHandler(private val entry: EntryServices, private val claims: ClaimService) {
    private val state = entry.state
    private val dispatcher = entry.dispatcher

    /** Result of one claim: a result for the caller, or an attempt that is confirmed not to have run. */
    private sealed interface Step {
        class Done(val result: Result<BufferedResponse, Problem>) : Step

        data class NotRun(val attempt: AttemptId, val problem: Problem) : Step
    }

    /** State of an attempt after its agent was asked to cancel it. */
    private enum class CancelOutcome { NOT_RUN, IN_PROGRESS, UNKNOWN }

    suspend fun run(job: ServiceJob, key: String): Result<BufferedResponse, Problem> {
        if (key.length > MAX_KEY_LENGTH) {
            return Err(Problem(ProblemCode.MALFORMED, "the idempotency key is longer than $MAX_KEY_LENGTH characters"))
        }
        val tried = LinkedHashSet<TargetKey>()
        var replaces: AttemptId? = null
        var last = Problem(ProblemCode.NO_TARGET, "no target could be reached")
        repeat(MAX_CLAIM_ATTEMPTS) {
            val claimant = chooseClaimant(job, tried) ?: return Err(last)
            when (val step = claimAndRun(job, key, claimant, replaces)) {
                is Step.Done -> return step.result

                is Step.NotRun -> {
                    replaces = step.attempt
                    last = step.problem
                }
            }
        }
        return Err(last)
    }

    /** Chooses a reachable target and creates an attempt for it. The agent's tick must be obtained before the claim. */
    private suspend fun chooseClaimant(job: ServiceJob, tried: MutableSet<TargetKey>): ClaimedAttempt? {
        while (true) {
            val request = RoutingRequest(set = job.routing.set, tried = tried)
            val target = (state.choose(request) as? RoutingDecision.Chosen)?.target ?: return null
            state.control.run { now -> state.loads.finished(target.key, request, hadFirstToken = false, now = now) }
            tried += target.key
            val tick = dispatcher.freshTick(target)
            if (tick != null) {
                return ClaimedAttempt(
                    attempt = AttemptId(UUID.randomUUID().toString()),
                    target = target.key.instance,
                    incarnation = target.key.incarnation,
                    tick = tick.toTimestamp(),
                )
            }
            dispatcher.recordOutcome(target, AttemptResult.Unreachable("no answer"))
        }
    }

    private suspend fun claimAndRun(
        job: ServiceJob,
        key: String,
        claimant: ClaimedAttempt,
        replaces: AttemptId?,
    ): Step {
        val request = ClaimRequest(
            key = ClaimKey.of(job.caller.workspace, job.service, key),
            requestHash = RequestHash.of(job.call.method, job.call.path, job.call.body.toByteArray()),
            claimant = claimant,
            replaces = replaces,
            retention = job.values.keyRetentionS.seconds,
        )
        val decision = claims.claim(request)
        entry.traces.add(job.id, "claim: $decision")
        return when (decision) {
            is ClaimDecision.Granted -> dispatch(job, decision.permit)

            is ClaimDecision.Held -> attachToHolder(job, decision.holder)

            ClaimDecision.Mismatch ->
                failure(ProblemCode.KEY_REUSED, "the idempotency key was used for another request")

            ClaimDecision.Unavailable ->
                failure(ProblemCode.CLAIMS_UNAVAILABLE, "idempotency keys cannot be recorded now; nothing was sent")

            ClaimDecision.Uncertain ->
                failure(ProblemCode.OUTCOME_UNKNOWN, "it is not known whether the idempotency key was recorded")
        }
    }

    private fun failure(code: ProblemCode, detail: String): Step = Step.Done(Err(Problem(code, detail)))

    /**
     * Sends the attempt named in the claim. No other process sends it, so it will never run if it is not sent here or
     * if its agent refuses it as not run.
     */
    private suspend fun dispatch(job: ServiceJob, permit: ClaimedAttempt): Step {
        val target = state.target(permit.key()) ?: return notRun(permit, "${permit.target} has left")
        val request = dispatcher.executeRequest(job.context, target, permit.tick.toTick())
            .setAttemptId(permit.attempt.value)
            .setCall(job.call)
            .build()
        val reply = BufferedResponse()
        val end = dispatcher.runAttempt(job.context, target, request, reply::add)
        dispatcher.recordOutcome(target, end)
        entry.traces.add(job.id, "ended on ${target.key.instance}: $end")
        return when {
            end is AttemptResult.Complete -> Step.Done(Ok(reply))
            !end.possiblyHandedOver -> notRun(permit, "${permit.target} did not run the call: $end")
            else -> failure(ProblemCode.OUTCOME_UNKNOWN, "the call may have run: $end")
        }
    }

    /** Reads the answer of the attempt that holds the key. Another request has sent it or was about to. */
    private suspend fun attachToHolder(job: ServiceJob, holder: ClaimedAttempt): Step {
        val target = state.target(holder.key())
            ?: return failure(ProblemCode.OUTCOME_UNKNOWN, "the call was sent to ${holder.target}, which is gone")
        job.context.evidence.recordSent()
        while (true) {
            val reply = BufferedResponse()
            val end = dispatcher.attempts.reattach(target, holder.attempt, reply::add)
            entry.traces.add(job.id, "joined on ${target.key.instance}: $end")
            if (end is AttemptResult.Complete) return Step.Done(Ok(reply))
            val refusal = end as? AttemptResult.Refused
                ?: return failure(ProblemCode.OUTCOME_UNKNOWN, "the agent with the call does not answer: $end")
            if (refusal.reason == RefusalReason.FRAMES_RELEASED) {
                return failure(ProblemCode.ANSWER_NOT_KEPT, "the call has run, and its answer is no longer kept")
            }
            if (!refusal.notRun && refusal.reason != RefusalReason.UNKNOWN_ATTEMPT) {
                return failure(ProblemCode.OUTCOME_UNKNOWN, "the call may have run: ${refusal.detail}")
            }
            when (cancelAndConfirm(target, holder)) {
                CancelOutcome.NOT_RUN -> {
                    job.context.evidence.recordNotRun()
                    return notRun(holder, "${holder.target} did not run the call")
                }

                // The attempt arrived between the resume and the cancel.
                CancelOutcome.IN_PROGRESS -> delay(REATTACH_DELAY)

                CancelOutcome.UNKNOWN ->
                    return failure(
                        ProblemCode.OUTCOME_UNKNOWN,
                        "the call was sent to ${holder.target} and may have run",
                    )
            }
        }
    }

    private fun notRun(claimed: ClaimedAttempt, detail: String): Step =
        Step.NotRun(attempt = claimed.attempt, problem = Problem(ProblemCode.TARGET_FAILED_NOT_RUN, detail))

    /** Cancels an attempt, so that it never runs if it has not run yet. */
    private suspend fun cancelAndConfirm(target: Target, claimed: ClaimedAttempt): CancelOutcome =
        when (dispatcher.attempts.cancel(target, claimed.attempt, claimed.tick.toTick())) {
            AttemptState.NOT_RUN -> CancelOutcome.NOT_RUN
            AttemptState.RUNNING, AttemptState.FINISHED -> CancelOutcome.IN_PROGRESS
            else -> CancelOutcome.UNKNOWN
        }
}

private fun ClaimedAttempt.key() = TargetKey(instance = target, incarnation = incarnation)
