/** Agent role: creates its components, runs until a stop is requested, and drains. */
package org.jujubelead.runtime.agent

import arrow.fx.coroutines.ResourceScope
import arrow.fx.coroutines.raceN
import arrow.fx.coroutines.resourceScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.platform.HttpModelEngine
import org.jujubelead.platform.HttpServiceClient
import org.jujubelead.protocol.ProcessSettings
import org.jujubelead.protocol.TargetSettings
import org.jujubelead.runtime.process.MaintenanceWatch
import org.jujubelead.runtime.process.ProcessContext
import org.jujubelead.runtime.process.StartException
import org.jujubelead.runtime.process.StopSignal
import org.jujubelead.runtime.process.announceUntilAccepted
import org.jujubelead.runtime.process.distributor
import org.jujubelead.runtime.process.follow
import org.jujubelead.runtime.process.newIncarnation
import org.jujubelead.runtime.process.processContext
import org.jujubelead.runtime.process.startHttp
import org.jujubelead.runtime.process.stopGracefully
import org.jujubelead.runtime.process.stopNow
import org.jujubelead.runtime.rpc.stopGracefully
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.settings.SettingsSnapshot
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Longer than the interval of entries, because agents use the list only to find entries. */
private val LIST_INTERVAL: Duration = 2.seconds
private val SWEEP_INTERVAL: Duration = 1.seconds
private val DRAIN_POLL_INTERVAL: Duration = 50.milliseconds

/** Answers of service calls are retained for callers that repeat an idempotency key. */
private val ANSWER_RETENTION: Duration = 30.minutes

/**
 * Time until every entry knows about the drain. Until then entries still send attempts, and each of them must be
 * refused as not run; a closed connection would leave its outcome unknown.
 */
private val DRAIN_PROPAGATION_TIME: Duration = 3.seconds

/** Time to send the last frames after the work has ended. */
private val FINAL_FRAMES_DELAY: Duration = 300.milliseconds
private val SETTINGS_POLL_INTERVAL: Duration = 50.milliseconds
private val DEFAULT_DRAIN_LIMIT: Duration = 30.seconds
private const val DEFAULT_CAPACITY = 8

/** Runs an agent. Returns after the drain. */
public suspend fun runAgent(settings: ProcessSettings): Unit = resourceScope {
    val context = processContext(settings)
    if (settings.target.url.isEmpty()) throw StartException("target.url must be set for an agent")
    val agent = Agent(context = context, target = targetRunner(settings.target))
    val signal = StopSignal { agent.stopNow() }
    signal.install()
    val http = install({
        startHttp(context.http, context.metrics, readiness = agent::unreadyReason)
    }) { resource, _ -> resource.stopGracefully() }
    val self = context.agentRecord(newIncarnation(), InstanceState.LIVE)
    context.scope.launch { context.instances.follow(LIST_INTERVAL) }
    context.scope.launch { context.distributor(self).follow(agent::apply) }
    Event.PROCESS_STARTED.log("role=agent instance=${context.instance} listen=${context.listen}")
    agent.run(signal)
    http.stopGracefully()
    Event.PROCESS_STOPPED.log("instance=${context.instance}")
}

/**
 * An agent across its incarnations.
 *
 * A drain ends an incarnation. After a maintenance window, a new incarnation starts with an empty ledger. Attempts that
 * the previous incarnation refused carry its identifier, so they can never run.
 */
private class Agent(private val context: ProcessContext, private val target: TargetRunner) {
    @Volatile private var settings: SettingsSnapshot? = null

    @Volatile private var current: AgentState? = null
    private val durations = WorkDurations()
    private val maintenance = MaintenanceWatch(
        zone = context.zone,
        settings = { settings },
        remainingWork = durations::p99,
    )

    fun apply(snapshot: SettingsSnapshot) {
        settings = snapshot
        current?.settingsRevision = snapshot.revision.value
        context.metrics.settingsRevision.set(snapshot.revision.value.toDouble())
    }

    fun unreadyReason(): String? {
        val state = current
        return when {
            settings == null -> "no settings"
            state == null -> "maintenance"
            state.ledger.draining -> "draining"
            else -> null
        }
    }

    /** Serves until [signal] requests a stop, except during maintenance windows. */
    suspend fun run(signal: StopSignal) {
        while (!signal.requested.isCompleted) {
            runUntilStop(signal) {
                // Until the first settings arrive, it is unknown whether the zone is in a maintenance window.
                while (settings == null) delay(SETTINGS_POLL_INTERVAL)
                maintenance.awaitWindowEnd()
            } ?: return
            serveIncarnation(signal)
        }
    }

    private suspend fun serveIncarnation(signal: StopSignal) = resourceScope {
        val state = newState()
        install({ context.transport.serve(context.listen, listOf(AgentService(state))) }) { resource, _ ->
            resource.stopGracefully()
        }
        val sweeper = context.scope.launch {
            while (true) {
                state.sweep(ANSWER_RETENTION)
                delay(SWEEP_INTERVAL)
            }
        }
        val announcement = context.scope.launch {
            context.directory.announceUntilAccepted(context.agentRecord(state.incarnation, InstanceState.LIVE))
        }
        current = state
        val leavingWatcher = context.scope.launch {
            context.instances.awaitLeaving(context.instance, state.incarnation)
            signal.request()
        }
        runUntilStop(signal) { maintenance.awaitDrainStart() }
        // Otherwise the announcement of this drain would be mistaken for a request to stop.
        leavingWatcher.cancelAndJoin()
        announcement.cancelAndJoin()
        drain(state)
        sweeper.cancel()
        current = null
    }

    private fun newState(): AgentState = AgentState(
        instance = context.instance,
        incarnation = newIncarnation(),
        control = context.control,
        capacity = context.settings.target.capacity.takeIf { it > 0 } ?: DEFAULT_CAPACITY,
        target = target,
        workScope = context.scope,
        durations = durations,
    ).also { it.settingsRevision = settings?.revision?.value ?: 0 }

    /**
     * Refuses new attempts and waits, up to the drain limit, until the attempts in progress have ended and their
     * answers have been read.
     */
    private suspend fun drain(state: AgentState) {
        state.control.run { state.ledger.startDrain() }
        Event.DRAIN_STARTED.log("instance=${context.instance} open=${state.unreadAnswers()}")
        val announcement = context.scope.launch {
            context.directory.announceUntilAccepted(context.agentRecord(state.incarnation, InstanceState.LEAVING))
        }
        val limit = settings?.forZone(context.zone)?.drainLimitS?.seconds ?: DEFAULT_DRAIN_LIMIT
        val idle = withTimeoutOrNull(maxOf(limit, DRAIN_PROPAGATION_TIME + FINAL_FRAMES_DELAY)) {
            delay(DRAIN_PROPAGATION_TIME)
            while (state.unreadAnswers() > 0 ||
                state.control.run { state.ledger.active } > 0
            ) {
                delay(DRAIN_POLL_INTERVAL)
            }
            delay(FINAL_FRAMES_DELAY)
            true
        }
        if (idle == null) stopNow()
        announcement.cancelAndJoin()
        Event.DRAIN_FINISHED.log("instance=${context.instance}")
    }

    /** Stops the process immediately. */
    fun stopNow() = stopNow(instance = context.instance, open = current?.unreadAnswers() ?: 0)
}

/** Runs [block] and returns its result, or null if a stop is requested first. */
private suspend fun <T : Any> runUntilStop(signal: StopSignal, block: suspend () -> T): T? =
    raceN({ block() }, { signal.requested.await() }).fold({ it }, { null })

private suspend fun ResourceScope.targetRunner(target: TargetSettings): TargetRunner = when {
    target.model.isNotEmpty() && target.service.isEmpty() ->
        TargetRunner.Model(install({ HttpModelEngine(target.url) }) { resource, _ -> resource.close() })

    target.service.isNotEmpty() && target.model.isEmpty() ->
        TargetRunner.Service(install({ HttpServiceClient(target.url) }) { resource, _ -> resource.close() })

    else -> throw StartException("target: set either model or service")
}

private fun ProcessContext.agentRecord(incarnation: Incarnation, state: InstanceState): InstanceRecord {
    val target = settings.target
    val isModel = target.model.isNotEmpty()
    return record(InstanceRole.AGENT, incarnation, state).copy(
        kind = if (isModel) TargetKind.MODEL else TargetKind.SERVICE,
        serves = if (isModel) target.model else target.service,
    )
}
