/**
 * One request on its way through targets: chooses, runs attempts, retries what is safe.
 *
 * Model requests and plain calls share this loop; they differ in what is sent and in what a lost attempt proves.
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

private const val HELLO_LIMIT_MILLIS = 700L

/** What a request is, apart from its work. */
public class DispatchContext(
    public val request: RequestId,
    public val workspace: WorkspaceId,
    public val deadline: Timestamp,
    public val idempotent: Boolean,
    public val priority: Int,
    public val evidence: RunEvidence = RunEvidence(),
)

/** What is proved about whether any attempt of a request ran. */
public class RunEvidence {
    @Volatile private var unproved = 0

    /** True when no attempt was sent, or each one is proved not to have run. */
    public val notRun: Boolean get() = unproved == 0

    /** An attempt is about to be sent. */
    public fun sent() {
        unproved += 1
    }

    /** An attempt that was sent is proved not to have run, now or later. */
    public fun provedNotRun() {
        unproved -= 1
    }
}

/** Result of all attempts of a request. */
public sealed interface DispatchEnd {
    public data class Complete(val finishReason: String) : DispatchEnd

    /** The outcome follows from the evidence in the context, over all attempts. */
    public data class Failed(val code: ProblemCode, val detail: String) : DispatchEnd
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
     * Runs the request until it is answered or given up. [work] fills in what to send for the next attempt; [deliver]
     * gets each
     * content frame once.
     */
    public suspend fun dispatch(
        context: DispatchContext,
        routing: RoutingRequest,
        work: ExecuteRequest.Builder.() -> Unit,
        deliver: suspend (Frame) -> Unit,
    ): DispatchEnd {
        val tried = LinkedHashSet<TargetKey>()
        var count = 0
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
                        "attempt ${count + 1} to ${decision.target.key.instance} (${decision.reason})",
                    )
                    decision.target
                }

                is RoutingDecision.NoTarget ->
                    return DispatchEnd.Failed(ProblemCode.NO_TARGET, detail = decision.reason.name.lowercase())
            }
            count += 1
            tried += target.key
            val end = attempt(context, target, request, work, deliver)
            traces.add(context.request, "ended: $end")
            if (end is AttemptEnd.Complete) return DispatchEnd.Complete(end.finishReason)
            report(target, end)
            val failed = FailedAttempt(
                failure = end.failure(),
                workspace = context.workspace,
                attempts = count,
                deadline = context.deadline,
            )
            val decision = state.retry(failed, context.idempotent, end.possiblyHandedOver)
            if (decision is RetryDecision.GiveUp) return giveUp(context, end, decision)
            Event.STREAM_MOVED.log("request=${context.request} from=${target.key.instance} end=$end")
        }
    }

    /** Runs one attempt and settles what became of it. */
    private suspend fun attempt(
        context: DispatchContext,
        target: Target,
        routing: RoutingRequest,
        work: ExecuteRequest.Builder.() -> Unit,
        deliver: suspend (Frame) -> Unit,
    ): AttemptEnd {
        var first = false
        var frames = 0
        val start = control.now()
        var firstAt = start
        try {
            val tick = tick(target) ?: return AttemptEnd.Unreachable("the agent does not answer")
            val request = execution(context, target, tick).apply(work).build()
            val end = runAttempt(context, target, request) { frame ->
                frames += 1
                if (!first) {
                    first = true
                    firstAt = control.now()
                    control.run { state.loads.firstToken(target.key, routing) }
                }
                deliver(frame)
            }
            if (end is AttemptEnd.Complete) {
                val now = control.now()
                val pace = if (request.hasCall()) now - start else (now - firstAt) / frames.coerceAtLeast(1)
                control.run { state.loads.measured(target.key, pace) }
            }
            return end
        } finally {
            withContext(NonCancellable) { control.run { now -> state.loads.finished(target.key, routing, first, now) } }
        }
    }

    /**
     * Runs [request] and keeps what its end proves. When the caller leaves or its deadline passes, the target is told
     * to
     * stop.
     */
    public suspend fun runAttempt(
        context: DispatchContext,
        target: Target,
        request: ExecuteRequest,
        deliver: suspend (Frame) -> Unit,
    ): AttemptEnd {
        context.evidence.sent()
        val end = try {
            val raw = attempts.run(target, request, deliver)
            if (raw is AttemptEnd.Lost) settle(target, request, raw) else raw
        } catch (e: CancellationException) {
            withContext(NonCancellable) {
                if (cancelled(target, request) == AttemptState.NOT_RUN) context.evidence.provedNotRun()
            }
            throw e
        }
        if (!end.possiblyHandedOver) context.evidence.provedNotRun()
        return end
    }

    /** Asks the agent what became of a lost attempt. Only its confirmation proves that the attempt will not run. */
    private suspend fun settle(target: Target, request: ExecuteRequest, lost: AttemptEnd.Lost): AttemptEnd =
        when (cancelled(target, request)) {
            AttemptState.NOT_RUN -> AttemptEnd.Refused(RefusalReason.CANCELLED, notRun = true, detail = lost.detail)
            else -> lost
        }

    private suspend fun cancelled(target: Target, request: ExecuteRequest): AttemptState? =
        attempts.cancel(target, AttemptId(request.attemptId), request.tickMs)

    internal fun execution(context: DispatchContext, target: Target, tick: Long): ExecuteRequest.Builder =
        ExecuteRequest.newBuilder()
            .setRequestId(context.request.value)
            .setAttemptId(UUID.randomUUID().toString())
            .setWorkspace(context.workspace.value)
            .setIncarnation(target.key.incarnation.value)
            .setTickMs(tick)
            .setTimeLeftMs((context.deadline - control.now()).inWholeMilliseconds.coerceAtLeast(0).toInt())
            .setPriority(context.priority)

    /** A fresh tick of the target's agent; asks the agent when none is known. Null when it does not answer. */
    public suspend fun tick(target: Target): Long? =
        state.ticks.fresh(target.key) ?: hello(target, newConnection = false)?.tickMs

    /** Asks an agent for its state; null when it does not answer in time. */
    public suspend fun hello(target: Target, newConnection: Boolean): HelloReply? {
        var channel = channels.get(target.key.instance, target.address())
        if (newConnection) channel = channels.replace(target.key.instance, channel)
        val request = HelloRequest.newBuilder().setSender(state.instance.value).build()
        repeat(2) {
            try {
                val reply = channel.stub.withDeadlineAfter(HELLO_LIMIT_MILLIS, TimeUnit.MILLISECONDS).hello(request)
                if (reply.incarnation != target.key.incarnation.value) return null
                state.ticks.learn(target.key, reply.tickMs)
                return reply
            } catch (_: StatusException) {
                channel = channels.replace(target.key.instance, channel)
            }
        }
        return null
    }

    /** Keeps what an ended attempt says about its target. */
    public fun report(target: Target, end: AttemptEnd) {
        val event = when (end) {
            is AttemptEnd.Complete -> MembershipEvent.AttemptSucceeded(target.key)
            is AttemptEnd.Unreachable -> MembershipEvent.AttemptFailed(target.key, FailureKind.REFUSED)
            is AttemptEnd.Lost -> MembershipEvent.AttemptFailed(target.key, FailureKind.NO_RESPONSE)
            is AttemptEnd.Refused -> refusalEvent(target, end)
        }
        event?.let(state::post)
    }

    private fun refusalEvent(target: Target, end: AttemptEnd.Refused): MembershipEvent? = when (end.reason) {
        RefusalReason.DRAINING ->
            MembershipEvent.AgentDraining(target.key, tickMillis = state.ticks.fresh(target.key) ?: 0L)

        RefusalReason.WRONG_INCARNATION, RefusalReason.TARGET_UNREACHABLE ->
            MembershipEvent.AttemptFailed(target.key, FailureKind.REFUSED)

        RefusalReason.TARGET_FAILED -> MembershipEvent.AttemptFailed(target.key, FailureKind.ERROR)

        else -> null
    }

    private fun giveUp(context: DispatchContext, end: AttemptEnd, decision: RetryDecision.GiveUp): DispatchEnd.Failed {
        val notRun = context.evidence.notRun
        val reason = (end as? AttemptEnd.Refused)?.reason
        val code = when {
            notRun && reason == RefusalReason.OVERLOADED -> ProblemCode.OVERLOADED
            notRun && reason == RefusalReason.DRAINING -> ProblemCode.NO_TARGET
            notRun && reason == RefusalReason.DEADLINE_PASSED -> ProblemCode.DEADLINE_NOT_RUN
            notRun -> ProblemCode.TARGET_FAILED_NOT_RUN
            reason != null -> ProblemCode.TARGET_FAILED
            else -> ProblemCode.OUTCOME_UNKNOWN
        }
        return DispatchEnd.Failed(code = code, detail = "${decision.reason.name.lowercase()}: $end")
    }
}

private fun AttemptEnd.failure(): AttemptFailure = when (this) {
    is AttemptEnd.Complete -> error("a complete attempt has not failed")

    is AttemptEnd.Unreachable -> AttemptFailure.UNREACHABLE

    is AttemptEnd.Lost -> AttemptFailure.CONNECTION_LOST

    is AttemptEnd.Refused -> when (reason) {
        RefusalReason.DRAINING, RefusalReason.WRONG_INCARNATION -> AttemptFailure.REFUSED_LEAVING
        RefusalReason.OVERLOADED, RefusalReason.STALE_TICK -> AttemptFailure.REFUSED_OVERLOADED
        RefusalReason.TARGET_UNREACHABLE -> AttemptFailure.UNREACHABLE
        else -> AttemptFailure.TARGET_FAILED
    }
}
