/**
 * Control state of an entry: known targets, their load, and admission.
 *
 * Mutable state is confined to the control thread, except where a property is marked as volatile.
 */
package org.jujubelead.runtime.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.jujubelead.core.admission.AdmissionState
import org.jujubelead.core.admission.WorkspaceLimits
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.MembershipEvent
import org.jujubelead.core.membership.MembershipView
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.retry.FailedAttempt
import org.jujubelead.core.retry.RetryBudget
import org.jujubelead.core.retry.RetryDecision
import org.jujubelead.core.retry.RetryPolicy
import org.jujubelead.core.routing.LoadReport
import org.jujubelead.core.routing.LoadTable
import org.jujubelead.core.routing.RoutingDecision
import org.jujubelead.core.routing.RoutingPolicy
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.core.routing.TwoChoices
import org.jujubelead.core.time.Timestamp
import org.jujubelead.protocol.Frame
import org.jujubelead.runtime.process.ControlThread
import org.jujubelead.settings.SettingsScope
import org.jujubelead.settings.SettingsSnapshot
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Maximum requests in progress until the capacity of the targets is known. */
private const val INITIAL_CAPACITY = 64

/**
 * @property seed differs between entries, so that they do not all choose the same targets.
 * @property scope scope of updates that other threads post to the control thread.
 */
public class EntryState(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val control: ControlThread,
    seed: Long,
    private val scope: CoroutineScope,
    private val policy: RoutingPolicy = TwoChoices(),
    private val retryPolicy: RetryPolicy = RetryPolicy(),
) {
    private val random = Random(seed)
    private val budget = RetryBudget()

    /** Current settings; null until the first revision is received. */
    @Volatile public var settings: SettingsSnapshot? = null

    /** True while this entry refuses new requests. */
    @Volatile public var draining: Boolean = false

    /** Membership view of this entry. Written on the control thread only. */
    @Volatile public var view: MembershipView = MembershipView()
        private set

    public val loads: LoadTable = LoadTable(zone = zone, seed = seed)
    public val ticks: TargetTicks = TargetTicks(control::now)
    private val gates = ConcurrentHashMap<TargetSetId, AdmissionGate>()

    /**
     * Admission gate of [set]. Each set has its own gate, so that an overloaded model does not delay a service.
     */
    public fun gate(set: TargetSetId): AdmissionGate = gates.computeIfAbsent(set) {
        AdmissionGate(
            control = control,
            state = AdmissionState(capacity = INITIAL_CAPACITY, limits = ::limitsOf),
        )
    }

    /** Sets the capacity of each gate to this entry's share of the targets' capacity, which all [entries] share. */
    public fun adjustCapacity(entries: Int, now: Timestamp) {
        gates.forEach { (set, gate) ->
            loads.capacity(set, entries, now)?.let { gate.updateCapacity(it.coerceAtLeast(1), now) }
        }
    }

    private fun limitsOf(workspace: WorkspaceId): WorkspaceLimits {
        val values = settings?.forScope(SettingsScope(zone = zone, workspace = workspace))
        return if (values == null) {
            WorkspaceLimits()
        } else {
            WorkspaceLimits(weight = values.share, maxInProgress = values.maxInFlight)
        }
    }

    /** Applies a membership event. Must be called on the control thread. */
    public fun update(event: MembershipEvent, now: Timestamp) {
        view = view.update(event, now)
    }

    /** Applies a membership event from any thread. */
    public fun post(event: MembershipEvent) {
        scope.launch(control.dispatcher) { update(event, control.now()) }
    }

    /** Chooses a target and adds the request to its load. */
    public suspend fun choose(request: RoutingRequest): RoutingDecision = control.run { now ->
        val candidates = view.candidates(request.set, now)
        val snapshot = loads.snapshot(request.set, candidates, now)
        policy.choose(request, snapshot, random).also {
            if (it is RoutingDecision.Chosen) loads.started(it.target, request, now)
        }
    }

    /** Counts a request toward the retry budget of [workspace]. */
    public suspend fun requestStarted(workspace: WorkspaceId): Unit = control.run { budget.requestStarted(workspace) }

    /** Decides whether a failed attempt is retried. */
    public suspend fun retry(failed: FailedAttempt, idempotent: Boolean, possiblyHandedOver: Boolean): RetryDecision =
        control.run { now ->
            retryPolicy.next(
                failed = failed,
                idempotent = idempotent,
                possiblyHandedOver = possiblyHandedOver,
                budget = budget,
                now = now,
            )
        }

    /** Records the load and the tick of a frame that carries them. */
    public fun observe(target: Target, frame: Frame) {
        if (!frame.hasLoad()) return
        ticks.update(target.key, frame.tickMs)
        val report = LoadReport(
            running = frame.load.running,
            waiting = frame.load.waiting,
            capacity = frame.load.capacity,
        )
        scope.launch(control.dispatcher) {
            val now = control.now()
            loads.reported(target.key, report, now)
            update(MembershipEvent.LoadReported(target.key), now)
        }
    }

    /** Returns the known target with [key]. */
    public fun target(key: TargetKey): Target? = view.known.firstOrNull { it.key == key }
}
