/**
 * Non-idempotent calls with an idempotency key: the key is claimed before dispatch, and a repeated key joins the
 * attempt that
 * holds it.
 *
 * Only the attempt that a claim names is ever sent, once, to the agent that the claim names. Another attempt is
 * claimed in its
 * place only after that agent has confirmed that the first one never will run.
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

/** Claims of one request: each follows a proof that the attempt before has not run. */
private const val MAX_CLAIMS = 4

/** Pause before an attempt that runs elsewhere is asked for again. */
private val REJOIN_PAUSE: Duration = 100.milliseconds

/** Longest key, in characters. */
private const val MAX_KEY_LENGTH = 256

internal class KeyedCalls(private val entry: EntryServices, private val claims: ClaimService) {
    private val state = entry.state
    private val dispatcher = entry.dispatcher

    /** Result of one step: an answer for the caller, or the attempt that is proved not to have run. */
    private sealed interface Step {
        class Done(val result: Result<CollectedReply, Problem>) : Step

        data class NotRun(val attempt: AttemptId, val problem: Problem) : Step
    }

    /** What an agent says about an attempt after it was told to cancel it. */
    private enum class Settled { NOT_RUN, IN_PROGRESS, UNKNOWN }

    suspend fun run(job: ServiceJob, key: String): Result<CollectedReply, Problem> {
        if (key.length > MAX_KEY_LENGTH) {
            return Err(Problem(ProblemCode.MALFORMED, "the idempotency key is longer than $MAX_KEY_LENGTH characters"))
        }
        val tried = LinkedHashSet<TargetKey>()
        var replaces: AttemptId? = null
        var last = Problem(ProblemCode.NO_TARGET, "no target could be reached")
        repeat(MAX_CLAIMS) {
            val claimant = claimant(job, tried) ?: return Err(last)
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

    /** Chooses a target that answers, and names a new attempt for it. Its tick is learnt before the claim. */
    private suspend fun claimant(job: ServiceJob, tried: MutableSet<TargetKey>): ClaimedAttempt? {
        while (true) {
            val request = RoutingRequest(set = job.routing.set, tried = tried)
            val target = (state.choose(request) as? RoutingDecision.Chosen)?.target ?: return null
            state.control.run { now -> state.loads.finished(target.key, request, hadFirstToken = false, now = now) }
            tried += target.key
            val tick = dispatcher.tick(target)
            if (tick != null) {
                return ClaimedAttempt(
                    attempt = AttemptId(UUID.randomUUID().toString()),
                    target = target.key.instance,
                    incarnation = target.key.incarnation,
                    tick = tick.toTimestamp(),
                )
            }
            dispatcher.report(target, AttemptEnd.Unreachable("no answer"))
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

            is ClaimDecision.Held -> join(job, decision.holder)

            ClaimDecision.Mismatch ->
                failed(ProblemCode.KEY_REUSED, "the idempotency key was used for another request")

            ClaimDecision.Unavailable ->
                failed(ProblemCode.CLAIMS_UNAVAILABLE, "idempotency keys cannot be recorded now; nothing was sent")

            ClaimDecision.Uncertain ->
                failed(ProblemCode.OUTCOME_UNKNOWN, "it is not known whether the idempotency key was recorded")
        }
    }

    private fun failed(code: ProblemCode, detail: String): Step = Step.Done(Err(Problem(code, detail)))

    /**
     * Sends the attempt that the claim names. Nobody else sends it, so an attempt that was not sent here, or that its
     * agent
     * refused as not run, never will run.
     */
    private suspend fun dispatch(job: ServiceJob, permit: ClaimedAttempt): Step {
        val target = state.target(permit.key()) ?: return notRun(permit, "${permit.target} has left")
        val request = dispatcher.execution(job.context, target, permit.tick.toTick())
            .setAttemptId(permit.attempt.value)
            .setCall(job.call)
            .build()
        val reply = CollectedReply()
        val end = dispatcher.runAttempt(job.context, target, request, reply::add)
        dispatcher.report(target, end)
        entry.traces.add(job.id, "ended on ${target.key.instance}: $end")
        return when {
            end is AttemptEnd.Complete -> Step.Done(Ok(reply))
            !end.possiblyHandedOver -> notRun(permit, "${permit.target} did not run the call: $end")
            else -> failed(ProblemCode.OUTCOME_UNKNOWN, "the call may have run: $end")
        }
    }

    /** Takes up the attempt that holds the key, which another request sent or meant to send. */
    private suspend fun join(job: ServiceJob, holder: ClaimedAttempt): Step {
        val target = state.target(holder.key())
            ?: return failed(ProblemCode.OUTCOME_UNKNOWN, "the call was sent to ${holder.target}, which is gone")
        job.context.evidence.sent()
        while (true) {
            val reply = CollectedReply()
            val end = dispatcher.attempts.rejoin(target, holder.attempt, reply::add)
            entry.traces.add(job.id, "joined on ${target.key.instance}: $end")
            if (end is AttemptEnd.Complete) return Step.Done(Ok(reply))
            val refusal = end as? AttemptEnd.Refused
                ?: return failed(ProblemCode.OUTCOME_UNKNOWN, "the agent with the call does not answer: $end")
            if (refusal.reason == RefusalReason.FRAMES_RELEASED) {
                return failed(ProblemCode.ANSWER_NOT_KEPT, "the call has run, and its answer is no longer kept")
            }
            if (!refusal.notRun && refusal.reason != RefusalReason.UNKNOWN_ATTEMPT) {
                return failed(ProblemCode.OUTCOME_UNKNOWN, "the call may have run: ${refusal.detail}")
            }
            when (settle(target, holder)) {
                Settled.NOT_RUN -> {
                    job.context.evidence.provedNotRun()
                    return notRun(holder, "${holder.target} did not run the call")
                }

                // It arrived between the two questions.
                Settled.IN_PROGRESS -> delay(REJOIN_PAUSE)

                Settled.UNKNOWN ->
                    return failed(ProblemCode.OUTCOME_UNKNOWN, "the call was sent to ${holder.target} and may have run")
            }
        }
    }

    private fun notRun(claimed: ClaimedAttempt, detail: String): Step =
        Step.NotRun(attempt = claimed.attempt, problem = Problem(ProblemCode.TARGET_FAILED_NOT_RUN, detail))

    /** Makes sure that an attempt that has not run never will. */
    private suspend fun settle(target: Target, claimed: ClaimedAttempt): Settled =
        when (dispatcher.attempts.cancel(target, claimed.attempt, claimed.tick.toTick())) {
            AttemptState.NOT_RUN -> Settled.NOT_RUN
            AttemptState.RUNNING, AttemptState.FINISHED -> Settled.IN_PROGRESS
            else -> Settled.UNKNOWN
        }
}

private fun ClaimedAttempt.key() = TargetKey(instance = target, incarnation = incarnation)
