/** Periodic tasks of an entry: reading the instance list, probing targets, and adjusting capacity. */
package org.jujubelead.runtime.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.jujubelead.core.membership.FailureKind
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.MembershipEvent
import org.jujubelead.core.membership.Target
import org.jujubelead.core.routing.LoadReport
import org.jujubelead.core.time.Timestamp
import org.jujubelead.runtime.process.InstanceList
import org.jujubelead.runtime.rpc.PeerChannels
import org.jujubelead.runtime.rpc.address
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIST_INTERVAL: Duration = 1.seconds
private val PROBE_INTERVAL: Duration = 250.milliseconds

/** Limits the burst of probes: a zone that becomes reachable again is probed over several rounds. */
private const val MAX_PROBES_PER_ROUND = 16

/** Random fraction of the interval, so that entries started together do not probe at the same time. */
private const val JITTER = 0.3

/** There is one instance per entry. */
internal class EntryBackgroundTasks(
    private val state: EntryState,
    private val dispatcher: Dispatcher,
    private val channels: TargetChannels,
    private val instances: InstanceList,
    private val peers: PeerChannels,
) {
    private val control = state.control

    fun start(scope: CoroutineScope) {
        scope.launch { instances.follow(LIST_INTERVAL, ::applyList) }
        scope.launch { repeatWithJitter(PROBE_INTERVAL) { probe(scope) } }
    }

    private suspend fun repeatWithJitter(interval: Duration, action: suspend () -> Unit) {
        while (true) {
            action()
            delay(interval * Random.nextDouble(1 - JITTER, 1 + JITTER))
        }
    }

    private suspend fun applyList(records: List<InstanceRecord>, requestedAt: Timestamp) {
        control.run { now ->
            state.update(MembershipEvent.ListRead(records = records, requestedAt = requestedAt), now)
            val known = state.view.known
            state.loads.retain(known)
            state.ticks.retain(known.mapTo(HashSet()) { it.key })
            channels.retain(known.mapTo(HashSet()) { it.key.instance })
            peers.retain(records.mapTo(HashSet()) { it.address() })
            state.adjustCapacity(entries = records.liveEntries().size.coerceAtLeast(1), now = now)
        }
    }

    private suspend fun probe(scope: CoroutineScope) {
        val due = control.run { now ->
            state.view.probesDue(now) { it.zone == state.zone || state.loads.load(it.key) != null }
                .take(MAX_PROBES_PER_ROUND)
                .onEach { state.update(MembershipEvent.ProbeStarted(it.key), now) }
        }
        due.forEach { target -> scope.launch { probe(target) } }
    }

    private suspend fun probe(target: Target) {
        val ejected = target.key in state.view.ejected(target.set)
        val reply = dispatcher.hello(target, newConnection = ejected)
        control.run { now ->
            if (reply == null) {
                state.update(MembershipEvent.ProbeFailed(target.key, FailureKind.REFUSED), now)
            } else {
                val load = reply.load
                val report = LoadReport(running = load.running, waiting = load.waiting, capacity = load.capacity)
                state.loads.reported(target.key, report, now)
                state.update(
                    MembershipEvent.ProbeSucceeded(
                        target = target.key,
                        draining = reply.draining,
                        tickMillis = reply.tickMs,
                    ),
                    now,
                )
            }
        }
    }
}
