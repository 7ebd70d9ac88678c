/**
 * Keeps prompts that crash replicas from them, on behalf of all requests of an instance.
 *
 * It turns lost connections into evidence, asks [PromptQuarantine] for decisions, and logs and passes on what changed.
 * Runs on the data plane's event loop.
 */
package org.jujubelead.gateway.quarantine

import io.netty.channel.EventLoop
import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.quarantine.PartKey
import org.jujubelead.core.quarantine.PartRecord
import org.jujubelead.core.quarantine.PromptQuarantine
import org.jujubelead.core.quarantine.QuarantineDecision
import org.jujubelead.core.replica.Replica
import org.jujubelead.gateway.net.ConnectionPool
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent

/** @param onQuarantineChanged called when requests that were admitted before may have to stop. */
internal class QuarantineGate(loop: EventLoop, private val log: EventLog, private val onQuarantineChanged: () -> Unit) {
    private data class LoggedState(val quarantined: Boolean, val suspected: Boolean, val crashes: Int)

    private val quarantine = PromptQuarantine()
    private val crashCheck = CrashCheck(loop)
    private val logged = HashMap<PartKey, LoggedState>()

    /** Receives changed evidence, and whether this instance observed the change. */
    var onEvidence: (Map<PartKey, PartRecord>, observed: Boolean) -> Unit = { _, _ -> }

    val records: Map<PartKey, PartRecord> get() = quarantine.records

    private val wallMillis: Long get() = ProcessClock.read().wallMillis

    /** Protection of replicas from one request of [service] whose prompt shares [parts] with others, but not [own]. */
    fun guard(service: ServiceId, parts: List<PromptPartId>, own: PromptPartId?): PromptGuard =
        Guard(service, parts, own)

    /** Adds the evidence of other instances or of the store. */
    fun merge(records: Map<PartKey, PartRecord>) {
        if (quarantine.merge(records, wallMillis)) changed(observed = false)
    }

    /** Part whose trial is due, and its record if this instance makes the trial. */
    fun dueTrial(outageRequests: (ServiceId) -> Int): Pair<PartKey, PartRecord>? {
        quarantine.expire(wallMillis)
        return quarantine.dueTrial(wallMillis, outageRequests)
    }

    /** Admits one request with the part of [key], whose trial is recorded in [record]. */
    fun startTrial(key: PartKey, record: PartRecord) {
        log.log(LogEvent.PART_TRIAL, "service" to key.service, "part" to key.part, "trial" to record.trials)
        merge(mapOf(key to record))
        quarantine.grantTrial(key)
    }

    private fun changed(observed: Boolean) {
        records.forEach(::logChange)
        logged.keys.retainAll(records.keys)
        onEvidence(records, observed)
        onQuarantineChanged()
    }

    private fun logChange(key: PartKey, record: PartRecord) {
        val state = LoggedState(record.quarantined, record.suspected, record.crashes.size)
        if (logged.put(key, state) == state) return
        log.log(
            LogEvent.PART_SUSPECTED,
            "service" to key.service,
            "part" to key.part,
            "own" to key.own.takeIf { it },
            "quarantined" to record.quarantined,
            "crashes" to record.crashes.keys.joinToString(" ") { it.replica.value },
            "cleared" to record.cleared.size,
            "vouched" to record.vouched,
            "trials" to record.trials,
        )
    }

    private inner class Guard(
        private val service: ServiceId,
        private val parts: List<PromptPartId>,
        private val own: PromptPartId?,
    ) : PromptGuard {
        private var trial = false

        override val mustStop: Boolean get() = !trial && quarantine.isQuarantined(service, parts, wallMillis, own)

        override fun admit(): QuarantineDecision {
            val now = wallMillis
            val decision = quarantine.decide(service, parts, now, own)
            trial = decision == QuarantineDecision.Admitted && quarantine.isQuarantined(service, parts, now, own)
            return decision
        }

        override fun recordAnswered() {
            if (own != null && quarantine.answered(service, parts, own)) changed(observed = true)
        }

        override fun onConnectionLost(
            replica: Replica,
            pool: ConnectionPool,
            responseStarted: Boolean,
            done: (mayRepeat: Boolean) -> Unit,
        ) {
            if (own == null) return done(true)
            crashCheck.check(replica, pool) { crashed ->
                if (!crashed) return@check done(true)
                val new = quarantine.crashed(service, replica.incarnation, parts, responseStarted, wallMillis, own)
                if (new) changed(observed = true)
                done(quarantine.mayRepeat(service, parts, own))
            }
        }
    }
}

/** Protects replicas from the prompt of one request. */
internal interface PromptGuard {
    /** True if the request must not be sent to a replica, or not stay there while it waits for its first event. */
    val mustStop: Boolean

    /** Decides about the request when it arrives. */
    fun admit(): QuarantineDecision

    /** Records that a replica has begun to answer the request. */
    fun recordAnswered()

    /**
     * Handles that [replica] ended the connection before the first event. Passes to [done] whether the request may be
     * sent to another replica.
     */
    fun onConnectionLost(
        replica: Replica,
        pool: ConnectionPool,
        responseStarted: Boolean,
        done: (mayRepeat: Boolean) -> Unit,
    )
}
