/**
 * Dispatches a request: chooses a target, runs an attempt on it, and retries when a retry is safe.
 *
 * Model requests and service calls share this loop. They differ in the work they send and in when a retry is safe.
 */
package org.jujubelead.runtime.entry

import io.grpc.StatusException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.RequestId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.membership.FailureKind
import org.jujubelead.core.membership.MembershipEvent
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.retry.AttemptFailure
import org.jujubelead.core.retry.FailedAttempt
import org.jujubelead.core.retry.RetryDecision
import org.jujubelead.core.routing.RoutingDecision
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.AttemptState
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.HelloReply
import org.jujubelead.protocol.HelloRequest
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.runtime.telemetry.Event
import java.util.UUID
import java.util.concurrent.TimeUnit

private const val HELLO_TIMEOUT_MILLIS = 700L

/** Properties of a request that do not depend on its work. */
public class DispatchContext(
    public val request: RequestId,
    public val workspace: WorkspaceId,
    public val deadline: Timestamp,
    public val idempotent: Boolean,
    public val priority: Int,
    public val evidence: ExecutionEvidence = ExecutionEvidence(),
)

/** Tracks whether any attempt of a request may have run. */
public class ExecutionEvidence {
    @Volatile private var possiblyExecuted = 0

    /** True if no attempt was sent, or every sent attempt is confirmed not to have run. */
    public val notRun: Boolean get() = possiblyExecuted == 0

    /** Records that an attempt is about to be sent. */
    public fun recordSent() {
        possiblyExecuted += 1
    }

    /** Records that a sent attempt has not run and never will. */
    public fun recordNotRun() {
        possiblyExecuted -= 1
    }
}

/** Result of a request after all its attempts. */
public sealed interface DispatchResult {
    public data class Complete(val finishReason: String) : DispatchResult

    /** [code] takes the [DispatchContext.evidence] of all attempts into account. */
    public data class Failed(val code: ProblemCode, val detail: String) : DispatchResult
}

/** Runs requests on targets. */
public class Dispatcher(
    private val state: EntryState,
    private val channels: TargetChannels,
    private val traces: RequestTraces,
) {
    private val control = state.control

    /** Runs single attempts. */
    public val attempts: AttemptRunner = AttemptRunner(channels = channels, observe = state::observe)

    /**
     * Runs attempts until the request is answered or must not be retried. [work] sets the work of each attempt;
     * [deliver] is called exactly once per content frame.
     */
    public suspend fun dispatch(
        context: DispatchContext,
        routing: RoutingRequest,
        work: ExecuteRequest.Builder.() -> Unit,
        deliver: suspend (Frame) -> Unit,
    ): DispatchResult {
        val tried = LinkedHashSet<TargetKey>()
        var attemptCount = 0
        while (true) {
            val request = RoutingRequest(
                set = routing.set,
                prefixes = routing.prefixes,
                workUnits = routing.workUnits,
                tried = tried,
            )
            val target = when (val decision = state.choose(request)) {
                is RoutingDecision.Chosen -> {
                    traces.add(
                        context.request,
                        "attempt ${attemptCount + 1} to ${decision.target.key.instance} (${decision.reason})",
                    )
                    decision.target
                }

                is RoutingDecision.NoTarget ->
                    return DispatchResult.Failed(ProblemCode.NO_TARGET, detail = decision.reason.name.lowercase())
            }
            attemptCount += 1
            tried += target.key
            val end = attempt(context, target, request, work, deliver)
            traces.add(context.request, "ended: $end")
            if (end is AttemptResult.Complete) return DispatchResult.Complete(end.finishReason)
            recordOutcome(target, end)
            val failed = FailedAttempt(
                failure = end.failure(),
                workspace = context.workspace,
                attempts = attemptCount,
                deadline = context.deadline,
            )
            val decision = state.retry(failed, context.idempotent, end.possiblyHandedOver)
            if (decision is RetryDecision.GiveUp) return giveUp(context, end, decision)
            Event.STREAM_MOVED.log("request=${context.request} from=${target.key.instance} end=$end")
        }
    }

    /** Runs one attempt and updates the load of its target. */
    private suspend fun attempt(
        context: DispatchContext,
        target: Target,
        routing: RoutingRequest,
        work: ExecuteRequest.Builder.() -> Unit,
        deliver: suspend (Frame) -> Unit,
    ): AttemptResult {
        var firstReceived = false
        var frames = 0
        val start = control.now()
        var firstAt = start
        try {
            val tick = freshTick(target) ?: return AttemptResult.Unreachable("the agent does not answer")
            val request = executeRequest(context, target, tick).apply(work).build()
            val end = runAttempt(context, target, request) { frame ->
                frames += 1
                if (!firstReceived) {
                    firstReceived = true
                    firstAt = control.now()
                    control.run { state.loads.firstToken(target.key, routing) }
                }
                deliver(frame)
            }
            if (end is AttemptResult.Complete) {
                val now = control.now()
                val duration = if (request.hasCall()) now - start else (now - firstAt) / frames.coerceAtLeast(1)
                control.run { state.loads.measured(target.key, duration) }
            }
            return end
        } finally {
            withContext(NonCancellable) {
                control.run { now -> state.loads.finished(target.key, routing, firstReceived, now) }
            }
        }
    }

    /**
     * Runs [request] and updates the evidence in [context]. If the caller disconnects or the deadline passes, the
     * attempt is cancelled on the target.
     */
    public suspend fun runAttempt(
        context: DispatchContext,
        target: Target,
        request: ExecuteRequest,
        deliver: suspend (Frame) -> Unit,
    ): AttemptResult {
        context.evidence.recordSent()
        val end = try {
            val result = attempts.run(target, request, deliver)
            if (result is AttemptResult.Lost) resolveLostAttempt(target, request, result) else result
        } catch (e: CancellationException) {
            withContext(NonCancellable) {
                if (cancelAttempt(target, request) == AttemptState.NOT_RUN) context.evidence.recordNotRun()
            }
            throw e
        }
        if (!end.possiblyHandedOver) context.evidence.recordNotRun()
        return end
    }

    /** Cancels a lost attempt on its agent. Only the agent's confirmation proves that the attempt will not run. */
    private suspend fun resolveLostAttempt(
        target: Target,
        request: ExecuteRequest,
        lost: AttemptResult.Lost,
    ): AttemptResult =
        when (cancelAttempt(target, request)) {
            AttemptState.NOT_RUN -> AttemptResult.Refused(RefusalReason.CANCELLED, notRun = true, detail = lost.detail)
            else -> lost
        }

    private suspend fun cancelAttempt(target: Target, request: ExecuteRequest): AttemptState? =
        attempts.cancel(target, AttemptId(request.attemptId), request.tickMs)

    internal fun executeRequest(context: DispatchContext, target: Target, tick: Long): ExecuteRequest.Builder =
        ExecuteRequest.newBuilder()
            .setRequestId(context.request.value)
            .setAttemptId(UUID.randomUUID().toString())
            .setWorkspace(context.workspace.value)
            .setIncarnation(target.key.incarnation.value)
            .setTickMs(tick)
            .setTimeLeftMs((context.deadline - control.now()).inWholeMilliseconds.coerceAtLeast(0).toInt())
            .setPriority(context.priority)

    /** Returns a recent tick of the target's agent, asking the agent if necessary. Null if it does not answer. */
    public suspend fun freshTick(target: Target): Long? =
        state.ticks.fresh(target.key) ?: hello(target, newConnection = false)?.tickMs

    /** Asks an agent for its state. Null if it does not answer in time or has another incarnation. */
    public suspend fun hello(target: Target, newConnection: Boolean): HelloReply? {
        var channel = channels.get(target.key.instance, target.address())
        if (newConnection) channel = channels.replace(target.key.instance, channel)
        val request = HelloRequest.newBuilder().setSender(state.instance.value).build()
        repeat(2) {
            try {
                val reply = channel.stub.withDeadlineAfter(HELLO_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).hello(request)
                if (reply.incarnation != target.key.incarnation.value) return null
                state.ticks.update(target.key, reply.tickMs)
                return reply
            } catch (_: StatusException) {
                channel = channels.replace(target.key.instance, channel)
            }
        }
        return null
    }

    /** Reports the result of an attempt to the membership view. */
    public fun recordOutcome(target: Target, end: AttemptResult) {
        val event = when (end) {
            is AttemptResult.Complete -> MembershipEvent.AttemptSucceeded(target.key)
            is AttemptResult.Unreachable -> MembershipEvent.AttemptFailed(target.key, FailureKind.REFUSED)
            is AttemptResult.Lost -> MembershipEvent.AttemptFailed(target.key, FailureKind.NO_RESPONSE)
            is AttemptResult.Refused -> refusalEvent(target, end)
        }
        event?.let(state::post)
    }

    private fun refusalEvent(target: Target, end: AttemptResult.Refused): MembershipEvent? = when (end.reason) {
        RefusalReason.DRAINING ->
            MembershipEvent.AgentDraining(target.key, tickMillis = state.ticks.fresh(target.key) ?: 0L)

        RefusalReason.WRONG_INCARNATION, RefusalReason.TARGET_UNREACHABLE ->
            MembershipEvent.AttemptFailed(target.key, FailureKind.REFUSED)

        RefusalReason.TARGET_FAILED -> MembershipEvent.AttemptFailed(target.key, FailureKind.ERROR)

        else -> null
    }

    private fun giveUp(
        context: DispatchContext,
        end: AttemptResult,
        decision: RetryDecision.GiveUp,
    ): DispatchResult.Failed {
        val notRun = context.evidence.notRun
        val reason = (end as? AttemptResult.Refused)?.reason
        val code = when {
            notRun && reason == RefusalReason.OVERLOADED -> ProblemCode.OVERLOADED
            notRun && reason == RefusalReason.DRAINING -> ProblemCode.NO_TARGET
            notRun && reason == RefusalReason.DEADLINE_PASSED -> ProblemCode.DEADLINE_NOT_RUN
            notRun -> ProblemCode.TARGET_FAILED_NOT_RUN
            reason != null -> ProblemCode.TARGET_FAILED
            else -> ProblemCode.OUTCOME_UNKNOWN
        }
        return DispatchResult.Failed(code = code, detail = "${decision.reason.name.lowercase()}: $end")
    }
}

private fun AttemptResult.failure(): AttemptFailure = when (this) {
    is AttemptResult.Complete -> error("a completed attempt has no failure kind")

    is AttemptResult.Unreachable -> AttemptFailure.UNREACHABLE

    is AttemptResult.Lost -> AttemptFailure.CONNECTION_LOST

    is AttemptResult.Refused -> when (reason) {
        RefusalReason.DRAINING, RefusalReason.WRONG_INCARNATION -> AttemptFailure.REFUSED_LEAVING
        RefusalReason.OVERLOADED, RefusalReason.STALE_TICK -> AttemptFailure.REFUSED_OVERLOADED
        RefusalReason.TARGET_UNREACHABLE -> AttemptFailure.UNREACHABLE
        else -> AttemptFailure.TARGET_FAILED
    }
}
