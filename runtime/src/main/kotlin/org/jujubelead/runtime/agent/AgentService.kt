/**
 * gRPC service of an agent: admits attempts through the ledger, streams their answers, and confirms cancellations.
 *
 * The ledger is confined to the control thread. An attempt is handed over to the target only after the ledger has
 * permitted it on that thread. The work and the streaming run on other threads.
 */
package org.jujubelead.runtime.agent

import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import org.jujubelead.core.execution.AdmitDecision
import org.jujubelead.core.execution.RefusalCause
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.AcknowledgeReply
import org.jujubelead.protocol.AcknowledgeRequest
import org.jujubelead.protocol.AgentGrpcKt
import org.jujubelead.protocol.AttemptState
import org.jujubelead.protocol.CancelReply
import org.jujubelead.protocol.CancelRequest
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.HelloReply
import org.jujubelead.protocol.HelloRequest
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.protocol.ResumeRequest
import org.jujubelead.runtime.telemetry.Event
import kotlin.time.Duration.Companion.milliseconds
import org.jujubelead.core.execution.AttemptState as LedgerState

/** Serves entries. [state] is shared with the process loop that drains the agent and sweeps old streams. */
public class AgentService(private val state: AgentState) : AgentGrpcKt.AgentCoroutineImplBase() {
    private val control = state.control

    override suspend fun hello(request: HelloRequest): HelloReply = control.run { now ->
        HelloReply.newBuilder()
            .setInstance(state.instance.value)
            .setIncarnation(state.incarnation.value)
            .setTickMs(now.toTick())
            .setLoad(state.loadMessage())
            .setDraining(state.ledger.draining)
            .setSettingsRevision(state.settingsRevision)
            .build()
    }

    override fun execute(request: ExecuteRequest): Flow<Frame> = flow {
        val attempt = AttemptId(request.attemptId)
        if (request.attemptId.isEmpty() || request.workCase == ExecuteRequest.WorkCase.WORK_NOT_SET) {
            throw StatusException(Status.INVALID_ARGUMENT.withDescription("attempt_id and work must be set"))
        }
        val decision = control.run { now -> state.admit(request, attempt, now) }
        when (decision) {
            AdmitDecision.Admitted -> {
                val stream = state.start(request, attempt)
                emitAll(stream.read(from = 0, now = control::now))
            }

            // Senders send each attempt once. A duplicate made in transit gets the same answer and does not run again.
            is AdmitDecision.AlreadyKnown -> emitAll(resumeFrames(attempt, from = 0))

            is AdmitDecision.Refused -> {
                Event.ATTEMPT_REFUSED.log("attempt=${attempt.value} cause=${decision.cause}")
                emit(
                    state.frames.refusal(
                        attempt = attempt,
                        reason = decision.cause.toReason(),
                        notRun = decision.notRun,
                        detail = decision.cause.name.lowercase(),
                    ),
                )
            }
        }
    }

    override fun resume(request: ResumeRequest): Flow<Frame> {
        val attempt = AttemptId(request.attemptId)
        if (request.incarnation != state.incarnation.value) {
            return flowOf(state.frames.refusal(attempt, RefusalReason.WRONG_INCARNATION, notRun = false, detail = ""))
        }
        return resumeFrames(attempt, request.fromSequence)
    }

    private fun resumeFrames(attempt: AttemptId, from: Long): Flow<Frame> {
        val stream = state.stream(attempt)
            ?: return flowOf(state.frames.refusal(attempt, RefusalReason.UNKNOWN_ATTEMPT, notRun = false, detail = ""))
        return stream.read(from = from, now = control::now)
    }

    override suspend fun acknowledge(request: AcknowledgeRequest): AcknowledgeReply {
        state.stream(AttemptId(request.attemptId))?.acknowledge(request.nextSequence)
        return AcknowledgeReply.getDefaultInstance()
    }

    override suspend fun cancel(request: CancelRequest): CancelReply {
        val attempt = AttemptId(request.attemptId)
        val ledgerState = control.run { now ->
            state.ledger.cancel(
                attempt = attempt,
                incarnation = Incarnation(request.incarnation),
                tick = request.tickMs.toTimestamp(),
                now = now,
            )
        }
        state.stopWork(attempt)
        return CancelReply.newBuilder().setState(ledgerState.toMessage()).build()
    }
}

private fun AgentState.admit(request: ExecuteRequest, attempt: AttemptId, now: Timestamp): AdmitDecision =
    ledger.admit(
        attempt = attempt,
        incarnation = Incarnation(request.incarnation),
        tick = request.tickMs.toTimestamp(),
        deadline = now + request.timeLeftMs.milliseconds,
        now = now,
    )

private const val MICROS_PER_MILLI = 1_000L

/** Converts to a tick, which is the agent's monotonic clock in milliseconds. */
internal fun Timestamp.toTick(): Long = micros / MICROS_PER_MILLI

internal fun Long.toTimestamp(): Timestamp = Timestamp(this * MICROS_PER_MILLI)

private fun RefusalCause.toReason(): RefusalReason = when (this) {
    RefusalCause.DRAINING -> RefusalReason.DRAINING
    RefusalCause.OVERLOADED -> RefusalReason.OVERLOADED
    RefusalCause.STALE_TICK -> RefusalReason.STALE_TICK
    RefusalCause.WRONG_INCARNATION -> RefusalReason.WRONG_INCARNATION
    RefusalCause.CANCELLED -> RefusalReason.CANCELLED
    RefusalCause.DEADLINE_PASSED -> RefusalReason.DEADLINE_PASSED
    RefusalCause.MALFORMED -> RefusalReason.MALFORMED
}

private fun LedgerState.toMessage(): AttemptState = when (this) {
    LedgerState.NOT_RUN -> AttemptState.NOT_RUN
    LedgerState.ADMITTED, LedgerState.RUNNING -> AttemptState.RUNNING
    LedgerState.FINISHED -> AttemptState.FINISHED
    LedgerState.UNKNOWN -> AttemptState.UNKNOWN
}
