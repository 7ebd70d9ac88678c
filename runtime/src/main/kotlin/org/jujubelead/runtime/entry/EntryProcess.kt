/** Entry role: creates its components, runs until a stop is requested, and drains. */
package org.jujubelead.runtime.entry

import arrow.fx.coroutines.resourceScope
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.claims.ClaimService
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.protocol.ProcessSettings
import org.jujubelead.runtime.process.ProcessContext
import org.jujubelead.runtime.process.StopSignal
import org.jujubelead.runtime.process.distributor
import org.jujubelead.runtime.process.follow
import org.jujubelead.runtime.process.newIncarnation
import org.jujubelead.runtime.process.processContext
import org.jujubelead.runtime.process.startHttp
import org.jujubelead.runtime.process.stopGracefully
import org.jujubelead.runtime.process.stopNow
import org.jujubelead.runtime.rpc.stopGracefully
import org.jujubelead.runtime.telemetry.BurnRecorder
import org.jujubelead.runtime.telemetry.Event
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time for the platform's load balancer to see that this entry is not ready, before the drain checks for idleness. */
private val READINESS_PROPAGATION_DELAY: Duration = 1.seconds
private val DRAIN_POLL_INTERVAL: Duration = 50.milliseconds
private val CLAIMS_RESTART_DELAY: Duration = 5.seconds

/** Runs an entry. Returns after the drain. */
public suspend fun runEntry(settings: ProcessSettings): Unit = resourceScope {
    val context = processContext(settings)
    val incarnation = newIncarnation()
    val state = EntryState(
        instance = context.instance,
        zone = context.zone,
        control = context.control,
        seed = incarnation.value.hashCode().toLong(),
        scope = context.scope,
    )
    val channels = install({ TargetChannels(context.transport) }) { resource, _ -> resource.close() }
    val traces = RequestTraces(context.control::now)
    val dispatcher = Dispatcher(state = state, channels = channels, traces = traces)
    val services = EntryServices(
        state = state,
        dispatcher = dispatcher,
        traces = traces,
        metrics = context.metrics,
        burn = BurnRecorder(context.control::now),
    )
    val signal = StopSignal { stopNow(services) }
    signal.install()
    val distributor = context.distributor(context.record(InstanceRole.ENTRY, incarnation, InstanceState.LIVE))
    val claims = context.claimService(incarnation)
    val peerService = PeerService(services, distributor.server, claims)
    install({ context.transport.serve(context.listen, listOf(peerService)) }) { resource, _ ->
        resource.stopGracefully()
    }
    val http = install({
        startHttp(context.http, context.metrics, readiness = { state.unreadyReason() }) {
            ChatRoutes(services).install(this)
            ServiceRoutes(services, IdempotencyKeyHandler(services, claims)).install(this)
        }
    }) { resource, _ -> resource.stopGracefully() }
    EntryBackgroundTasks(
        state = state,
        dispatcher = dispatcher,
        channels = channels,
        instances = context.instances,
        peers = context.peers,
    ).start(context.scope)
    context.scope.launch {
        distributor.follow { snapshot ->
            state.settings = snapshot
            context.metrics.settingsRevision.set(snapshot.revision.value.toDouble())
        }
    }
    context.scope.launch { runClaimService(claims) }
    val registration = EntryRegistration(context, state, incarnation)
    Event.PROCESS_STARTED.log("role=entry instance=${context.instance} listen=${context.listen} http=${context.http}")
    val maintenance = context.scope.launch { registration.followMaintenance() }
    val leavingWatcher = context.scope.launch {
        registration.awaitLeaving()
        signal.request()
    }
    signal.requested.await()
    leavingWatcher.cancelAndJoin()
    maintenance.cancelAndJoin()
    context.scope.launch { claims.leave() }
    drain(context, services, registration)
    http.stopGracefully()
    Event.PROCESS_STOPPED.log("instance=${context.instance}")
}

/**
 * Runs the claim service and restarts it after a failure, such as a record that cannot be decoded. Until the restart,
 * calls with an idempotency key are refused.
 */
private suspend fun runClaimService(claims: ClaimService) {
    while (true) {
        try {
            claims.run()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Event.CLAIMS_UNAVAILABLE.log("claim service failed; restarting", e)
        }
        delay(CLAIMS_RESTART_DELAY)
    }
}

private fun EntryState.unreadyReason(): String? = when {
    draining -> "draining"
    settings == null -> "no settings"
    else -> null
}

/** Refuses new requests and waits for those in progress, up to the drain limit of the zone. */
private suspend fun drain(context: ProcessContext, services: EntryServices, registration: EntryRegistration) {
    val state = services.state
    Event.DRAIN_STARTED.log("instance=${context.instance} open=${services.inProgress}")
    registration.startDrain()
    val limit = state.settings?.forZone(state.zone)?.drainLimitS?.seconds ?: Duration.ZERO
    delay(READINESS_PROPAGATION_DELAY)
    val idle = withTimeoutOrNull(limit) {
        while (services.inProgress > 0) delay(DRAIN_POLL_INTERVAL)
        true
    }
    if (idle == null && services.inProgress > 0) stopNow(services)
    Event.DRAIN_FINISHED.log("instance=${context.instance}")
}

private fun stopNow(services: EntryServices) =
    stopNow(instance = services.state.instance, open = services.inProgress)
