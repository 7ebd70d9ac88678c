/** Simulated process that runs the coordinator while it holds the group's lease. It can be paused and killed. */
package org.jujubelead.standins.ranks

import org.jujubelead.core.group.CoordinatorEffect
import org.jujubelead.core.group.CoordinatorEvent
import org.jujubelead.core.group.CoordinatorPhase
import org.jujubelead.core.group.GroupRecord
import org.jujubelead.core.group.MapCoordinator
import org.jujubelead.core.group.MapOrder
import org.jujubelead.core.group.RankId
import org.jujubelead.core.group.RankReport
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.LeaseGrant
import org.jujubelead.platform.Version
import org.jujubelead.standins.LeaseReply
import org.jujubelead.standins.WriteReply
import kotlin.time.Duration.Companion.microseconds

private const val LEASE_MICROS = 9 * SECOND
private const val RENEW_MICROS = 3 * SECOND

internal class CoordinatorHost(private val simulation: GroupSimulation, private val index: Int) {
    private var incarnation = 0
    private var pausedUntil = 0L
    private var grant: LeaseGrant? = null
    private var coordinator: MapCoordinator? = null
    private var recordVersion: Version? = null
    private val reports = HashMap<RankId, RankReport>()

    /** Number of sends after which the process is killed. */
    var killAfterSends: Int? = null

    /** Duration in microseconds of a pause between the next decision to commit and the sends that follow from it. */
    var pauseBeforeCommit: Long? = null

    fun start() {
        val current = ++incarnation
        grant = null
        coordinator = null
        reports.clear()
        simulation.time.every(RENEW_MICROS, { incarnation == current }) { ifAwake { renewLease() } }
        simulation.time.every(100 * MILLI, { incarnation == current }) { ifAwake { tick() } }
    }

    fun pause(micros: Long) {
        pausedUntil = simulation.time.now + micros
        pauseBeforeCommit = null
    }

    fun stopFaults() {
        pausedUntil = simulation.time.now
        killAfterSends = null
        pauseBeforeCommit = null
    }

    private fun ifAwake(action: () -> Unit) {
        if (simulation.time.now >= pausedUntil) action()
    }

    /** Runs [action] now, or after the pause if the process was not restarted in the meantime. */
    private fun whenAwake(action: () -> Unit) {
        if (simulation.time.now >= pausedUntil) return action()
        val current = incarnation
        simulation.time.at(pausedUntil) { if (incarnation == current) action() }
    }

    private fun renewLease() {
        if (!simulation.serviceUp) return
        val requestedAt = simulation.now()
        val reply = simulation.service.acquireLease(
            "g",
            "host-$index-$incarnation",
            LEASE_MICROS / MILLI,
            simulation.time.now / MILLI,
        )
        simulation.time.after(2 * MILLI) {
            val granted = (reply as? LeaseReply.Granted)?.grant ?: return@after
            val until = requestedAt + LEASE_MICROS.microseconds
            whenAwake { if (granted.fence == grant?.fence) leaseRenewed(until) else takeOver(granted, until) }
        }
    }

    private fun leaseRenewed(until: Timestamp) {
        handle(CoordinatorEvent.LeaseRenewed(until))
        if (coordinator?.phase is CoordinatorPhase.Stopped) grant?.let { takeOver(it, until) }
    }

    private fun takeOver(next: LeaseGrant, until: Timestamp) {
        if (!simulation.serviceUp) return
        val (version, record) = simulation.readRecord() ?: return
        grant = next
        recordVersion = version
        coordinator = MapCoordinator.takeOver(
            group = GroupId("g"),
            fence = next.fence,
            leaseUntil = until,
            record = record,
            members = simulation.members,
        )
    }

    private fun tick() {
        val c = coordinator ?: return
        handle(CoordinatorEvent.Tick)
        if (c.record.members != simulation.members) handle(CoordinatorEvent.MembersChanged(simulation.members))
        if (c.phase == CoordinatorPhase.Steady && c.record.committed.placement != simulation.desired) {
            handle(CoordinatorEvent.Proposed(simulation.desired))
        }
    }

    private fun handle(event: CoordinatorEvent) {
        val next = coordinator?.on(event, simulation.now()) ?: return
        coordinator = next.state
        val sends = next.effects.filterIsInstance<CoordinatorEffect.Send>()
        if (sends.any { it.order.order is MapOrder.Commit }) pauseBeforeCommit?.let { pause(it) }
        whenAwake { sends.all { send(it) } }
        next.effects.filterIsInstance<CoordinatorEffect.Save>().forEach { save(it.record) }
    }

    /** Sends an order. Returns false if the process was killed before it. */
    private fun send(effect: CoordinatorEffect.Send): Boolean {
        val current = incarnation
        if (killAfterSends == 0) {
            killAfterSends = null
            start()
            return false
        }
        killAfterSends = killAfterSends?.minus(1)
        simulation.deliver(effect) { report ->
            whenAwake {
                if (incarnation == current) {
                    reports[report.rank] = report
                    simulation.reportEvents(report, reports).forEach { handle(it) }
                }
            }
        }
        return true
    }

    private fun save(record: GroupRecord) {
        val reply = if (simulation.serviceUp) simulation.saveRecord(record, recordVersion) else null
        val lost = reply is WriteReply.Written && simulation.net.injects(Fault.STORE_OUTAGE, probability = 0.2)
        val current = incarnation
        simulation.time.after(3 * MILLI) {
            whenAwake {
                if (incarnation != current) return@whenAwake
                if (reply is WriteReply.Written && !lost) {
                    recordVersion = reply.version
                    handle(CoordinatorEvent.Saved(record))
                } else {
                    handle(CoordinatorEvent.SaveFailed)
                }
            }
        }
    }
}
