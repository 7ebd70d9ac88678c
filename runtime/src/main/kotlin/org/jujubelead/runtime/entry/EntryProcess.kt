/** The entry role: assembles its parts, runs until it is told to stop, and drains. */
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

/** Time for the platform's balancer to see that this entry is not ready, before it is counted as idle. */
private val UNREADY_NOTICE: Duration = 1.seconds
private val DRAIN_POLL: Duration = 50.milliseconds
private val CLAIMS_RESTART: Duration = 5.seconds

/** Runs an entry; returns after a drain. */
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
            ServiceRoutes(services, KeyedCalls(services, claims)).install(this)
        }
    }) { resource, _ -> resource.stopGracefully() }
    EntryLoops(
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
    context.scope.launch { keepClaiming(claims) }
    val presence = EntryPresence(context, state, incarnation)
    Event.PROCESS_STARTED.log("role=entry instance=${context.instance} listen=${context.listen} http=${context.http}")
    val maintenance = context.scope.launch { presence.followMaintenance() }
    val leaves = context.scope.launch {
        presence.awaitLeaving()
        signal.request()
    }
    signal.requested.await()
    leaves.cancelAndJoin()
    maintenance.cancelAndJoin()
    context.scope.launch { claims.leave() }
    drain(context, services, presence)
    http.stopGracefully()
    Event.PROCESS_STOPPED.log("instance=${context.instance}")
}

/** A record that cannot be decoded ends the claim service; it starts again, and keyed calls are refused meanwhile. */
private suspend fun keepClaiming(claims: ClaimService) {
    while (true) {
        try {
            claims.run()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Event.CLAIMS_UNAVAILABLE.log("the claim service failed and starts again", e)
        }
        delay(CLAIMS_RESTART)
    }
}

private fun EntryState.unreadyReason(): String? = when {
    draining -> "draining"
    settings == null -> "no settings"
    else -> null
}

/** New requests are refused; open ones end whole, at most until the drain limit of the zone. */
private suspend fun drain(context: ProcessContext, services: EntryServices, presence: EntryPresence) {
    val state = services.state
    Event.DRAIN_STARTED.log("instance=${context.instance} open=${services.inProgress}")
    presence.leave()
    val limit = state.settings?.forZone(state.zone)?.drainLimitS?.seconds ?: Duration.ZERO
    delay(UNREADY_NOTICE)
    val idle = withTimeoutOrNull(limit) {
        while (services.inProgress > 0) delay(DRAIN_POLL)
        true
    }
    if (idle == null && services.inProgress > 0) stopNow(services)
    Event.DRAIN_FINISHED.log("instance=${context.instance}")
}

private fun stopNow(services: EntryServices) =
    stopNow(instance = services.state.instance, open = services.inProgress)
