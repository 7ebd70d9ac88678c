/** The agent role: assembles its parts, runs until it is told to stop, and drains. */
package org.jujubelead.runtime.agent

import arrow.fx.coroutines.ResourceScope
import arrow.fx.coroutines.resourceScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.platform.HttpModelEngine
import org.jujubelead.platform.HttpPlainService
import org.jujubelead.protocol.ProcessSettings
import org.jujubelead.protocol.TargetSettings
import org.jujubelead.runtime.process.ProcessContext
import org.jujubelead.runtime.process.StartException
import org.jujubelead.runtime.process.StopSignal
import org.jujubelead.runtime.process.announceUntilTaken
import org.jujubelead.runtime.process.followSettings
import org.jujubelead.runtime.process.processContext
import org.jujubelead.runtime.process.startHttp
import org.jujubelead.runtime.process.stopGracefully
import org.jujubelead.runtime.telemetry.Event
import org.jujubelead.settings.SettingsSnapshot
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val SWEEP_INTERVAL: Duration = 1.seconds
private val DRAIN_POLL: Duration = 50.milliseconds

/** Answers of plain calls are kept for callers that repeat an idempotency key. */
private val KEEP_ANSWERS: Duration = 30.minutes

/** Time for the last frames to leave after the work has ended. */
private val LAST_FRAMES: Duration = 300.milliseconds
private const val DEFAULT_CAPACITY = 8
private const val EXIT_CUT = 3

/** Runs an agent; returns after a drain. */
public suspend fun runAgent(settings: ProcessSettings): Unit = resourceScope {
    val context = processContext(settings)
    if (settings.target.url.isEmpty()) throw StartException("target.url must be set for an agent")
    val target = settings.target
    val state = AgentState(
        instance = context.instance,
        incarnation = context.incarnation,
        control = context.control,
        capacity = target.capacity.takeIf { it > 0 } ?: DEFAULT_CAPACITY,
        target = targetRunner(target),
        traffic = context.scope,
    )
    var current: SettingsSnapshot? = null
    val signal = StopSignal { stopNow(state) }
    signal.install()
    install({ context.transport.serve(context.listen, listOf(AgentService(state))) }) { resource, _ ->
        resource.shutdownNow().awaitTermination(1, TimeUnit.SECONDS)
    }
    val http = install({
        startHttp(context.http, context.metrics, readiness = { unreadyReason(state, current) })
    }) { resource, _ -> resource.stopGracefully() }
    context.scope.launch {
        context.followSettings { snapshot ->
            current = snapshot
            state.settingsRevision = snapshot.revision.value
            context.metrics.settingsRevision.set(snapshot.revision.value.toDouble())
        }
    }
    context.scope.launch {
        while (true) {
            state.sweep(KEEP_ANSWERS)
            delay(SWEEP_INTERVAL)
        }
    }
    context.scope.launch { context.directory.announceUntilTaken(context.agentRecord(InstanceState.LIVE)) }
    Event.PROCESS_STARTED.log("role=agent instance=${context.instance} listen=${context.listen} target=${target.url}")
    signal.requested.await()
    drain(context, state, limit = current.drainLimit(context.zone))
    http.stopGracefully()
    Event.PROCESS_STOPPED.log("instance=${context.instance}")
}

private suspend fun ResourceScope.targetRunner(target: TargetSettings): TargetRunner = when {
    target.model.isNotEmpty() && target.service.isEmpty() ->
        TargetRunner.Model(install({ HttpModelEngine(target.url) }) { resource, _ -> resource.close() })

    target.service.isNotEmpty() && target.model.isEmpty() ->
        TargetRunner.Service(install({ HttpPlainService(target.url) }) { resource, _ -> resource.close() })

    else -> throw StartException("target: set either model or service")
}

private fun ProcessContext.agentRecord(state: InstanceState): InstanceRecord {
    val target = settings.target
    val isModel = target.model.isNotEmpty()
    return record(InstanceRole.AGENT, state).copy(
        kind = if (isModel) TargetKind.MODEL else TargetKind.SERVICE,
        serves = if (isModel) target.model else target.service,
    )
}

private fun unreadyReason(state: AgentState, settings: SettingsSnapshot?): String? = when {
    state.ledger.draining -> "draining"
    settings == null -> "no settings"
    else -> null
}

private fun SettingsSnapshot?.drainLimit(zone: ZoneId): Duration =
    this?.forZone(zone)?.drainLimitS?.seconds ?: 30.seconds

/** New attempts are refused; attempts in progress end and their answers are read, at most until [limit]. */
private suspend fun drain(context: ProcessContext, state: AgentState, limit: Duration) {
    state.control.run { state.ledger.startDrain() }
    Event.DRAIN_STARTED.log("instance=${context.instance} open=${state.unread()}")
    context.scope.launch { context.directory.announceUntilTaken(context.agentRecord(InstanceState.LEAVING)) }
    val idle = withTimeoutOrNull(limit) {
        while (state.unread() > 0 || state.control.run { state.ledger.active } > 0) delay(DRAIN_POLL)
        delay(LAST_FRAMES)
        true
    }
    if (idle == null) stopNow(state)
    Event.DRAIN_FINISHED.log("instance=${context.instance}")
}

private fun stopNow(state: AgentState) {
    val open = state.unread()
    Event.DRAIN_CUT.log("instance=${state.instance} cut=$open")
    Runtime.getRuntime().halt(if (open > 0) EXIT_CUT else 0)
}
