/** Components shared by the routes of an entry. */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.jujubelead.core.admission.AdmissionRefusal
import org.jujubelead.core.admission.AdmissionRequest
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.runtime.telemetry.BurnRecorder
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.runtime.telemetry.Metrics
import java.util.concurrent.atomic.AtomicInteger

/** There is one instance per entry. */
internal class EntryServices(
    val state: EntryState,
    val dispatcher: Dispatcher,
    val traces: RequestTraces,
    val metrics: Metrics,
    val burn: BurnRecorder,
) {
    private val activeRequests = AtomicInteger()

    /** Requests in progress, including those waiting for admission. */
    val inProgress: Int get() = activeRequests.get()

    /** Runs [block] once the request has been admitted to [set], or returns the refusal. */
    suspend fun <T> withAdmission(
        set: TargetSetId,
        context: DispatchContext,
        block: suspend () -> T,
    ): Result<T, Problem> {
        activeRequests.incrementAndGet()
        metrics.inFlight.inc()
        try {
            val gate = state.gate(set)
            val admission = gate.enter(AdmissionRequest(workspace = context.workspace, deadline = context.deadline))
            if (admission is Admission.Refused) return Err(refusal(admission))
            try {
                state.requestStarted(context.workspace)
                return Ok(block())
            } finally {
                withContext(NonCancellable) { gate.leave(context.workspace) }
            }
        } finally {
            activeRequests.decrementAndGet()
            metrics.inFlight.dec()
        }
    }

    private fun refusal(refused: Admission.Refused): Problem {
        val code = when (refused.reason) {
            AdmissionRefusal.DEADLINE, AdmissionRefusal.QUEUE_FULL -> ProblemCode.OVERLOADED
            AdmissionRefusal.WORKSPACE_LIMIT -> ProblemCode.OVER_SHARE
        }
        return Problem(
            code = code,
            detail = "refused before dispatch: ${refused.reason.name.lowercase().replace('_', ' ')}",
            retryAfter = refused.retryAt - state.control.now(),
        )
    }

    /** Result of a request whose deadline passed during its dispatch. */
    fun deadlinePassed(context: DispatchContext): DispatchResult.Failed = DispatchResult.Failed(
        code = if (context.evidence.notRun) ProblemCode.DEADLINE_NOT_RUN else ProblemCode.DEADLINE_UNKNOWN,
        detail = "the request was not answered by its deadline",
    )

    fun problem(failed: DispatchResult.Failed): Problem = Problem(code = failed.code, detail = failed.detail)

    fun countRefusal(kind: String, problem: Problem) {
        Event.REQUEST_REFUSED.log("kind=$kind code=${problem.code.text}")
        metrics.requests.labelValues(kind, problem.code.text).inc()
    }

    fun countResult(kind: String, problem: Problem?) {
        if (problem != null) {
            Event.REQUEST_FAILED.log("kind=$kind code=${problem.code.text} detail=\"${problem.detail}\"")
        }
        metrics.requests.labelValues(kind, problem?.code?.text ?: "ok").inc()
    }
}
