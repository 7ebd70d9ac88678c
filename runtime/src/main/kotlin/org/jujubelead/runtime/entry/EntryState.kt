/**
 * Control state of an entry: which targets there are, how loaded they are, and what may be sent.
 *
 * All mutable parts belong to the control thread; the functions here run on it.
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

/** Requests an entry has in progress before the capacity of the targets is known. */
private const val INITIAL_CAPACITY = 64

/**
 * @property seed differs between entries, so that their choices differ.
 * @property scope scope of updates that traffic threads hand to the control thread.
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

    /** The settings in force here; null before the first. */
    @Volatile public var settings: SettingsSnapshot? = null

    /** True once this entry takes no new requests. */
    @Volatile public var draining: Boolean = false

    /** Targets as this entry sees them. Written on the control thread only. */
    @Volatile public var view: MembershipView = MembershipView()
        private set

    public val loads: LoadTable = LoadTable(zone = zone, seed = seed)
    public val ticks: TargetTicks = TargetTicks(control::now)
    private val gates = ConcurrentHashMap<TargetSetId, AdmissionGate>()

    /**
     * Admission to the targets of [set]. Sets have gates of their own, so that a full model does not delay a service.
     */
    public fun gate(set: TargetSetId): AdmissionGate = gates.computeIfAbsent(set) {
        AdmissionGate(
            control = control,
            state = AdmissionState(capacity = INITIAL_CAPACITY, limits = ::limitsOf),
        )
    }

    /** Adjusts the gates to the free places of the targets, which this entry shares with all [entries]. */
    public fun adjustCapacity(entries: Int, now: Timestamp) {
        gates.forEach { (set, gate) ->
            loads.capacity(set, entries, now)?.let { gate.capacityChanged(it.coerceAtLeast(1), now) }
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

    /** Applies evidence about targets. */
    public fun update(event: MembershipEvent, now: Timestamp) {
        view = view.update(event, now)
    }

    /** Applies evidence from a traffic thread. */
    public fun post(event: MembershipEvent) {
        scope.launch(control.dispatcher) { update(event, control.now()) }
    }

    /** Chooses a target and counts the request as started there. */
    public suspend fun choose(request: RoutingRequest): RoutingDecision = control.run { now ->
        val candidates = view.candidates(request.set, now)
        val snapshot = loads.snapshot(request.set, candidates, now)
        policy.choose(request, snapshot, random).also {
            if (it is RoutingDecision.Chosen) loads.started(it.target, request, now)
        }
    }

    /** Counts a request of a caller for the retry budget. */
    public suspend fun requestStarted(workspace: WorkspaceId): Unit = control.run { budget.requestStarted(workspace) }

    /** Decides whether a failed attempt is tried again. */
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

    /** Takes the load and tick of a frame that carries them. */
    public fun observe(target: Target, frame: Frame) {
        if (!frame.hasLoad()) return
        ticks.learn(target.key, frame.tickMs)
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

    /** Known targets by key. */
    public fun target(key: TargetKey): Target? = view.known.firstOrNull { it.key == key }
}
