/** The agent role: assembles its parts, runs until it is told to stop, and drains. */
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
import org.jujubelead.runtime.process.announceUntilTaken
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

/** Agents need the list only to find entries, so they read it less often than entries do. */
private val LIST_INTERVAL: Duration = 2.seconds
private val SWEEP_INTERVAL: Duration = 1.seconds
private val DRAIN_POLL: Duration = 50.milliseconds

/** Answers of plain calls are kept for callers that repeat an idempotency key. */
private val KEEP_ANSWERS: Duration = 30.minutes

/**
 * Time in which every entry learns of the drain. Until then calls are on their way, and each needs the answer that it
 * did
 * not run; a closed connection would leave its outcome unknown.
 */
private val NOTICE_TIME: Duration = 3.seconds

/** Time for the last frames to leave after the work has ended. */
private val LAST_FRAMES: Duration = 300.milliseconds
private val SETTINGS_POLL: Duration = 50.milliseconds
private val DEFAULT_DRAIN_LIMIT: Duration = 30.seconds
private const val DEFAULT_CAPACITY = 8

/** Runs an agent; returns after a drain. */
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
 * An agent over its incarnations.
 *
 * A drain ends an incarnation. After a maintenance window a new one begins, with a fresh ledger, so that nothing the
 * drained one refused can run later.
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

    /** Serves until [signal] asks for a stop, and pauses during maintenance windows. */
    suspend fun run(signal: StopSignal) {
        while (!signal.requested.isCompleted) {
            untilStop(signal) {
                // Before the first settings it is not known whether the zone is under maintenance.
                while (settings == null) delay(SETTINGS_POLL)
                maintenance.awaitReturn()
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
                state.sweep(KEEP_ANSWERS)
                delay(SWEEP_INTERVAL)
            }
        }
        val announcer = context.scope.launch {
            context.directory.announceUntilTaken(context.agentRecord(state.incarnation, InstanceState.LIVE))
        }
        current = state
        val leaves = context.scope.launch {
            context.instances.awaitLeaving(context.instance, state.incarnation)
            signal.request()
        }
        untilStop(signal) { maintenance.awaitDrain() }
        // The own announcement of the drain would look like an order to leave.
        leaves.cancelAndJoin()
        announcer.cancelAndJoin()
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
        traffic = context.scope,
        durations = durations,
    ).also { it.settingsRevision = settings?.revision?.value ?: 0 }

    /** New attempts are refused; attempts in progress end and their answers are read, at most until the drain limit. */
    private suspend fun drain(state: AgentState) {
        state.control.run { state.ledger.startDrain() }
        Event.DRAIN_STARTED.log("instance=${context.instance} open=${state.unread()}")
        val announcer = context.scope.launch {
            context.directory.announceUntilTaken(context.agentRecord(state.incarnation, InstanceState.LEAVING))
        }
        val limit = settings?.forZone(context.zone)?.drainLimitS?.seconds ?: DEFAULT_DRAIN_LIMIT
        val idle = withTimeoutOrNull(maxOf(limit, NOTICE_TIME + LAST_FRAMES)) {
            delay(NOTICE_TIME)
            while (state.unread() > 0 || state.control.run { state.ledger.active } > 0) delay(DRAIN_POLL)
            delay(LAST_FRAMES)
            true
        }
        if (idle == null) stopNow()
        announcer.cancelAndJoin()
        Event.DRAIN_FINISHED.log("instance=${context.instance}")
    }

    /** Ends the process at once. */
    fun stopNow() = stopNow(instance = context.instance, open = current?.unread() ?: 0)
}

/** Runs [block] until it ends or a stop is requested; null in the second case. */
private suspend fun <T : Any> untilStop(signal: StopSignal, block: suspend () -> T): T? =
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
