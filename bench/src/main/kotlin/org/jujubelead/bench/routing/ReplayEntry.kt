/** One entry in a replay: it drives the decisions of `core` as the runtime does. */
package org.jujubelead.bench.routing

import org.jujubelead.core.admission.AdmissionDecision
import org.jujubelead.core.admission.AdmissionPolicy
import org.jujubelead.core.admission.AdmissionRequest
import org.jujubelead.core.admission.AdmissionState
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.FailureKind
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.MembershipEvent
import org.jujubelead.core.membership.MembershipView
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.core.retry.AttemptFailure
import org.jujubelead.core.retry.FailedAttempt
import org.jujubelead.core.retry.RetryBudget
import org.jujubelead.core.retry.RetryDecision
import org.jujubelead.core.retry.RetryPolicy
import org.jujubelead.core.routing.LoadReport
import org.jujubelead.core.routing.LoadTable
import org.jujubelead.core.routing.RoutingDecision
import org.jujubelead.core.routing.RoutingRequest
import org.jujubelead.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

internal class ReplayEntry(
    private val events: EventQueue,
    private val options: ReplayOptions,
    private val set: TargetSetId,
    private val engines: Map<TargetKey, FakeEngine>,
    zone: ZoneId,
    seed: Long,
) {
    private class Attempt(val work: Work, val target: Target, val routing: RoutingRequest) {
        var engineRequest: EngineRequest? = null
        var firstTokenAt: Long? = null
        var over = false
    }

    private class Work(val result: RequestResult, val deadline: Timestamp) {
        val tried = HashSet<TargetKey>()
        var attempts = 0
        var tokensLeft = result.request.outputTokens
    }

    private val random = Random(seed)
    private val table = LoadTable(zone, seed)
    private var view = MembershipView()
    private val admissionPolicy = AdmissionPolicy()
    private val admission =
        AdmissionState(FakeEngine.SLOTS * options.targets / options.entries, options.workspaceLimits)
    private val waiting = HashMap<WorkspaceId, ArrayDeque<Work>>()
    private val inProgress = HashMap<TargetKey, LinkedHashSet<Attempt>>()
    private val retryPolicy = RetryPolicy()
    private val budget = if (options.limits) RetryBudget() else RetryBudget(UNLIMITED, UNLIMITED, UNLIMITED, UNLIMITED)

    var attempts = 0L
        private set
    var retries = 0L
        private set

    fun listRead(records: List<InstanceRecord>) = update(MembershipEvent.ListRead(records, time()))

    fun reported(target: TargetKey, report: LoadReport, madeAtMicros: Long) {
        table.reported(target, report, Timestamp(madeAtMicros))
        update(MembershipEvent.LoadReported(target))
    }

    fun arrive(result: RequestResult) {
        budget.requestStarted(result.request.workspace)
        val work = Work(result, time() + OBJECTIVE_MICROS.microseconds)
        if (result.keyed && events.now in options.outage) {
            result.unclaimed = true
            failed(work, AttemptFailure.CLAIM_UNAVAILABLE, possiblyHandedOver = false)
            return
        }
        if (!options.admission) return send(work)
        table.capacity(set, options.entries, time())?.let(admission::capacityChanged)
        val request = AdmissionRequest(result.request.workspace, work.deadline)
        when (val decision = admissionPolicy.decide(request, admission, time())) {
            AdmissionDecision.Admit -> start(work)
            is AdmissionDecision.Refuse -> result.end = End.REFUSED
            is AdmissionDecision.Queue -> queue(work, decision.until)
        }
    }

    private fun queue(work: Work, until: Timestamp) {
        val workspace = work.result.request.workspace
        admission.queued(workspace)
        val own = waiting.getOrPut(workspace) { ArrayDeque() }
        own += work
        events.at(until.micros) {
            if (own.remove(work)) {
                admission.dequeued(workspace)
                work.result.end = End.REFUSED
            }
        }
    }

    private fun start(work: Work) {
        admission.started(work.result.request.workspace)
        send(work)
    }

    private fun send(work: Work) {
        val trace = work.result.request
        val routing = RoutingRequest(set, trace.prefixes, trace.prefixes.size, work.tried)
        val snapshot = table.snapshot(set, view.candidates(set, time()), time())
        val decision = options.policy.choose(routing, snapshot, random)
        if (decision !is RoutingDecision.Chosen) return end(work, End.FAILED)
        val target = decision.target
        work.attempts++
        attempts++
        table.started(target, routing, time())
        val attempt = Attempt(work, target, routing)
        val engine = engines.getValue(target.key)
        if (engine.lost) {
            events.after(SILENCE_MICROS) { lost(attempt) }
            return
        }
        attempt.engineRequest = EngineRequest(
            trace.prefixes,
            work.tokensLeft,
            onFirstToken = { events.after(DISTANCE_MICROS) { firstToken(attempt) } },
            onEnd = { events.after(DISTANCE_MICROS) { answered(attempt) } },
        )
        inProgress.getOrPut(target.key) { LinkedHashSet() } += attempt
        events.after(DISTANCE_MICROS) {
            if (engine.waitingCount < options.agentQueue) {
                attempt.engineRequest?.let(engine::submit)
            } else {
                events.after(DISTANCE_MICROS) { refused(attempt) }
            }
        }
    }

    /** The agent refused because the target is overloaded. */
    private fun refused(attempt: Attempt) {
        if (attempt.over) return
        inProgress[attempt.target.key]?.remove(attempt)
        close(attempt)
        attempt.work.tried += attempt.target.key
        failed(attempt.work, AttemptFailure.REFUSED_OVERLOADED, possiblyHandedOver = false)
    }

    /** The engine of [target] was lost: streams go silent, which the entry finds out later. */
    fun targetLost(target: TargetKey) {
        val cut = inProgress.remove(target).orEmpty()
        events.after(SILENCE_MICROS) { cut.forEach(::lost) }
    }

    private fun firstToken(attempt: Attempt) {
        if (attempt.over) return
        attempt.firstTokenAt = events.now
        table.firstToken(attempt.target.key, attempt.routing)
        val result = attempt.work.result
        if (result.firstTokenMicros == null) result.firstTokenMicros = events.now - result.request.atMicros
    }

    private fun answered(attempt: Attempt) {
        if (attempt.over) return
        inProgress[attempt.target.key]?.remove(attempt)
        close(attempt)
        val tokens = attempt.work.tokensLeft
        attempt.firstTokenAt?.let { table.measured(attempt.target.key, ((events.now - it) / tokens).microseconds) }
        update(MembershipEvent.AttemptSucceeded(attempt.target.key))
        end(attempt.work, End.ANSWERED)
    }

    private fun lost(attempt: Attempt) {
        if (attempt.over) return
        close(attempt)
        update(MembershipEvent.AttemptFailed(attempt.target.key, FailureKind.NO_RESPONSE))
        val work = attempt.work
        work.tried += attempt.target.key
        attempt.engineRequest?.let { if (it.emitted) work.tokensLeft = it.tokensLeft.coerceAtLeast(1) }
        // A stream past its first token has met its deadline and goes on elsewhere.
        failed(
            work,
            AttemptFailure.CONNECTION_LOST,
            possiblyHandedOver = true,
            deadline = time() + OBJECTIVE_MICROS.microseconds,
        )
    }

    private fun failed(
        work: Work,
        failure: AttemptFailure,
        possiblyHandedOver: Boolean,
        deadline: Timestamp = work.deadline,
    ) {
        val failed = FailedAttempt(failure, work.result.request.workspace, work.attempts, deadline)
        val decision = retryPolicy.next(failed, idempotent = true, possiblyHandedOver, budget, time())
        if (decision is RetryDecision.Retry) {
            retries++
            send(work)
        } else {
            end(work, if (failure == AttemptFailure.CLAIM_UNAVAILABLE) End.REFUSED else End.FAILED)
        }
    }

    private fun close(attempt: Attempt) {
        attempt.over = true
        table.finished(attempt.target.key, attempt.routing, attempt.firstTokenAt != null, time())
    }

    private fun end(work: Work, end: End) {
        work.result.end = end
        if (!options.admission || work.attempts == 0) return
        admission.finished(work.result.request.workspace, time())
        table.capacity(set, options.entries, time())?.let(admission::capacityChanged)
        sendWaiting()
    }

    /** Called when room may have appeared. */
    fun sendWaiting() {
        while (true) {
            val workspace = admission.next(admissionPolicy, time()) ?: return
            val work = waiting.getValue(workspace).removeFirst()
            admission.dequeued(workspace)
            start(work)
        }
    }

    /** Sends the probes that are due; a lost engine does not answer. */
    fun probe() {
        for (target in view.probesDue(time())) {
            update(MembershipEvent.ProbeStarted(target.key))
            val engine = engines.getValue(target.key)
            val event = if (engine.lost) {
                MembershipEvent.ProbeFailed(target.key, FailureKind.NO_RESPONSE)
            } else {
                MembershipEvent.ProbeSucceeded(target.key, draining = false, tickMillis = events.now / 1000)
            }
            events.after(if (engine.lost) SILENCE_MICROS else 2 * DISTANCE_MICROS) { update(event) }
        }
    }

    private fun update(event: MembershipEvent) {
        view = view.update(event, time())
    }

    private fun time() = Timestamp(events.now)

    private companion object {
        const val DISTANCE_MICROS = 500L

        /** Silence after which an attempt is given up (section 5.3 of the design). */
        const val SILENCE_MICROS = 500_000L
        const val UNLIMITED = 1e9
    }
}
