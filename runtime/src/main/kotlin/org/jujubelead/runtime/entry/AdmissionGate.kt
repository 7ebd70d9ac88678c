/** Applies the admission policy to requests and queues those that have to wait. */
package org.jujubelead.runtime.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
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

/** Admission control for one target set. [state] and the queues are confined to the control thread. */
public class AdmissionGate(
    private val control: ControlThread,
    private val state: AdmissionState,
    private val policy: AdmissionPolicy = AdmissionPolicy(),
) {
    private val queues = HashMap<WorkspaceId, ArrayDeque<CompletableDeferred<Unit>>>()

    /**
     * Waits until the request may be sent, or returns the reason for its refusal. A cancelled caller holds no slot.
     */
    public suspend fun enter(request: AdmissionRequest): Admission {
        // Without NonCancellable, a caller cancelled between the decision and its resumption would lose the decision,
        // and its slot would never be released.
        val (decision, waiter) = withContext(NonCancellable) { control.run { now -> decide(request, now) } }
        return releaseOnCancellation(request.workspace, decision, waiter) {
            currentCoroutineContext().ensureActive()
            when (decision) {
                AdmissionDecision.Admit -> Admission.Admitted
                is AdmissionDecision.Refuse -> Admission.Refused(decision.reason, decision.retryAt)
                is AdmissionDecision.Queue -> await(request, waiter, decision.until)
            }
        }
    }

    private fun decide(request: AdmissionRequest, now: Timestamp): Pair<AdmissionDecision, CompletableDeferred<Unit>> {
        val waiter = CompletableDeferred<Unit>()
        val decision = policy.decide(request, state, now)
        when (decision) {
            AdmissionDecision.Admit -> state.started(request.workspace)
            is AdmissionDecision.Queue -> enqueue(request.workspace, waiter)
            is AdmissionDecision.Refuse -> Unit
        }
        return decision to waiter
    }

    private suspend fun <T> releaseOnCancellation(
        workspace: WorkspaceId,
        decision: AdmissionDecision,
        waiter: CompletableDeferred<Unit>,
        block: suspend () -> T,
    ): T = try {
        block()
    } catch (e: CancellationException) {
        withContext(NonCancellable) {
            when (decision) {
                AdmissionDecision.Admit -> leave(workspace)
                is AdmissionDecision.Queue -> if (!removeWaiter(workspace, waiter)) leave(workspace)
                is AdmissionDecision.Refuse -> Unit
            }
        }
        throw e
    }

    /** Releases the slot of an admitted request and admits queued requests. */
    public suspend fun leave(workspace: WorkspaceId) {
        control.run { now ->
            state.finished(workspace, now)
            admitQueued(now)
        }
    }

    /** Sets the number of requests that may be in progress and admits queued requests. */
    public fun updateCapacity(capacity: Int, now: Timestamp) {
        state.capacityChanged(capacity)
        admitQueued(now)
    }

    private fun enqueue(workspace: WorkspaceId, waiter: CompletableDeferred<Unit>) {
        state.queued(workspace)
        queues.getOrPut(workspace) { ArrayDeque() }.addLast(waiter)
    }

    private fun admitQueued(now: Timestamp) {
        while (true) {
            val workspace = state.next(policy, now) ?: return
            val waiter = queues[workspace]?.removeFirstOrNull() ?: return
            if (queues[workspace].isNullOrEmpty()) queues.remove(workspace)
            state.dequeued(workspace)
            state.started(workspace)
            waiter.complete(Unit)
        }
    }

    private suspend fun await(
        request: AdmissionRequest,
        waiter: CompletableDeferred<Unit>,
        until: Timestamp,
    ): Admission {
        withTimeoutOrNull(until - control.now()) { waiter.await() }
        if (waiter.isCompleted || !withContext(NonCancellable) { removeWaiter(request.workspace, waiter) }) {
            return Admission.Admitted
        }
        return Admission.Refused(AdmissionRefusal.DEADLINE, control.now())
    }

    /** Removes a waiter from its queue. Returns false if it has already been admitted. Idempotent. */
    private suspend fun removeWaiter(workspace: WorkspaceId, waiter: CompletableDeferred<Unit>): Boolean = control.run {
        if (waiter.isCompleted) return@run false
        if (queues[workspace]?.remove(waiter) == true) state.dequeued(workspace)
        if (queues[workspace].isNullOrEmpty()) queues.remove(workspace)
        true
    }
}
