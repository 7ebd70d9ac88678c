/** A process that may hold the group's lease and then runs the coordinator. It can be paused and killed. */
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

internal class CoordinatorHost(private val world: GroupWorld, private val index: Int) {
    private var life = 0
    private var pausedUntil = 0L
    private var grant: LeaseGrant? = null
    private var coordinator: MapCoordinator? = null
    private var recordVersion: Version? = null
    private val known = HashMap<RankId, RankReport>()

    /** The process dies after this many more sends. */
    var killAfterSends: Int? = null

    /** The process is paused for this long between its next decision to commit and the writes to its connections. */
    var pauseBeforeCommit: Long? = null

    fun start() {
        val mine = ++life
        grant = null
        coordinator = null
        known.clear()
        world.time.every(RENEW_MICROS, { life == mine }) { awake { lease() } }
        world.time.every(100 * MILLI, { life == mine }) { awake { tick() } }
    }

    fun pause(micros: Long) {
        pausedUntil = world.time.now + micros
        pauseBeforeCommit = null
    }

    fun stopFaults() {
        pausedUntil = world.time.now
        killAfterSends = null
        pauseBeforeCommit = null
    }

    private fun awake(action: () -> Unit) {
        if (world.time.now >= pausedUntil) action()
    }

    /** What arrives during a pause is handled after it, as long as the process is the same. */
    private fun whenAwake(action: () -> Unit) {
        if (world.time.now >= pausedUntil) return action()
        val mine = life
        world.time.at(pausedUntil) { if (life == mine) action() }
    }

    private fun lease() {
        if (!world.serviceUp) return
        val asked = world.now()
        val reply = world.service.acquireLease("g", "host-$index-$life", LEASE_MICROS / MILLI, world.time.now / MILLI)
        world.time.after(2 * MILLI) {
            val granted = (reply as? LeaseReply.Granted)?.grant ?: return@after
            val until = asked + LEASE_MICROS.microseconds
            whenAwake { if (granted.fence == grant?.fence) renewed(until) else takeOver(granted, until) }
        }
    }

    private fun renewed(until: Timestamp) {
        handle(CoordinatorEvent.LeaseRenewed(until))
        if (coordinator?.phase is CoordinatorPhase.Stopped) grant?.let { takeOver(it, until) }
    }

    private fun takeOver(next: LeaseGrant, until: Timestamp) {
        if (!world.serviceUp) return
        val (version, record) = world.readRecord() ?: return
        grant = next
        recordVersion = version
        coordinator = MapCoordinator.takeOver(
            group = GroupId("g"),
            fence = next.fence,
            leaseUntil = until,
            record = record,
            members = world.members,
        )
    }

    private fun tick() {
        val c = coordinator ?: return
        handle(CoordinatorEvent.Tick)
        if (c.record.members != world.members) handle(CoordinatorEvent.MembersChanged(world.members))
        if (c.phase == CoordinatorPhase.Steady && c.record.committed.placement != world.wanted) {
            handle(CoordinatorEvent.Proposed(world.wanted))
        }
    }

    private fun handle(event: CoordinatorEvent) {
        val next = coordinator?.on(event, world.now()) ?: return
        coordinator = next.state
        val sends = next.effects.filterIsInstance<CoordinatorEffect.Send>()
        if (sends.any { it.order.order is MapOrder.Commit }) pauseBeforeCommit?.let { pause(it) }
        whenAwake { sends.all { send(it) } }
        next.effects.filterIsInstance<CoordinatorEffect.Save>().forEach { save(it.record) }
    }

    /** False when the process died between two sends. */
    private fun send(effect: CoordinatorEffect.Send): Boolean {
        val mine = life
        if (killAfterSends == 0) {
            killAfterSends = null
            start()
            return false
        }
        killAfterSends = killAfterSends?.minus(1)
        world.deliver(effect) { report ->
            whenAwake {
                if (life == mine) {
                    known[report.rank] = report
                    world.told(report, known).forEach { handle(it) }
                }
            }
        }
        return true
    }

    private fun save(record: GroupRecord) {
        val reply = if (world.serviceUp) world.saveRecord(record, recordVersion) else null
        val lost = reply is WriteReply.Written && world.net.on(Fault.STORE_OUTAGE, probability = 0.2)
        val mine = life
        world.time.after(3 * MILLI) {
            whenAwake {
                if (life != mine) return@whenAwake
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
