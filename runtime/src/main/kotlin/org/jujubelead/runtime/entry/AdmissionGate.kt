/** Lets requests pass as the admission policy decides, and keeps those that wait. */
package org.jujubelead.runtime.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.admission.AdmissionDecision
import org.jujubelead.core.admission.AdmissionPolicy
import org.jujubelead.core.admission.AdmissionRefusal
import org.jujubelead.core.admission.AdmissionRequest
import org.jujubelead.core.admission.AdmissionState
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.process.ControlThread

/** Result of [AdmissionGate.enter]. */
public sealed interface Admission {
    /** The request may be sent; [AdmissionGate.leave] must follow. */
    public data object Admitted : Admission

    public data class Refused(val reason: AdmissionRefusal, val retryAt: Timestamp) : Admission
}

/** [state] and the queues belong to the control thread. */
public class AdmissionGate(
    private val control: ControlThread,
    private val state: AdmissionState,
    private val policy: AdmissionPolicy = AdmissionPolicy(),
) {
    private val queues = HashMap<WorkspaceId, ArrayDeque<CompletableDeferred<Unit>>>()

    /** Waits until the request may be sent, or says why it may not. */
    public suspend fun enter(request: AdmissionRequest): Admission {
        var waiter: CompletableDeferred<Unit>? = null
        val decision = control.run { now ->
            policy.decide(request, state, now).also {
                if (it is AdmissionDecision.Admit) state.started(request.workspace)
                if (it is AdmissionDecision.Queue) waiter = enqueue(request.workspace)
            }
        }
        return when (decision) {
            AdmissionDecision.Admit -> Admission.Admitted
            is AdmissionDecision.Refuse -> Admission.Refused(decision.reason, decision.retryAt)
            is AdmissionDecision.Queue -> await(request, waiter!!, decision.until)
        }
    }

    /** Ends an admitted request. */
    public suspend fun leave(workspace: WorkspaceId) {
        control.run { now ->
            state.finished(workspace, now)
            admitNext(now)
        }
    }

    /** The capacity behind this entry changed. */
    public fun capacityChanged(capacity: Int, now: Timestamp) {
        state.capacityChanged(capacity)
        admitNext(now)
    }

    private fun enqueue(workspace: WorkspaceId): CompletableDeferred<Unit> {
        val waiter = CompletableDeferred<Unit>()
        state.queued(workspace)
        queues.getOrPut(workspace) { ArrayDeque() }.addLast(waiter)
        return waiter
    }

    private fun admitNext(now: Timestamp) {
        while (true) {
            val workspace = state.next(policy, now) ?: return
            val waiter = queues[workspace]?.removeFirstOrNull() ?: return
            if (queues[workspace].isNullOrEmpty()) queues.remove(workspace)
            state.unqueued(workspace)
            state.started(workspace)
            waiter.complete(Unit)
        }
    }

    private suspend fun await(
        request: AdmissionRequest,
        waiter: CompletableDeferred<Unit>,
        until: Timestamp,
    ): Admission {
        try {
            withTimeoutOrNull(until - control.now()) { waiter.await() }
        } catch (e: CancellationException) {
            withContext(NonCancellable) {
                if (!withdraw(request.workspace, waiter)) leave(request.workspace)
            }
            throw e
        }
        if (!withdraw(request.workspace, waiter)) return Admission.Admitted
        return Admission.Refused(AdmissionRefusal.DEADLINE, control.now())
    }

    /** Takes a waiter out of its queue; false when it was admitted before. */
    private suspend fun withdraw(workspace: WorkspaceId, waiter: CompletableDeferred<Unit>): Boolean = control.run {
        if (waiter.isCompleted) return@run false
        queues[workspace]?.remove(waiter)
        if (queues[workspace].isNullOrEmpty()) queues.remove(workspace)
        state.unqueued(workspace)
        true
    }
}
