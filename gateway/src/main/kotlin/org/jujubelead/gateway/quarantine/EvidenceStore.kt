/**
 * Keeps the evidence against prompt parts in the store, for gateways that start later or that no report reaches.
 *
 * The revision of the evidence is compared in the same call as that of the configuration, so reading it takes no calls
 * of its own. Writes replace a known revision with the merged evidence; after a conflict they are repeated. A gateway
 * that finds evidence missing, as it does when the store has come back from a copy, writes it again. A trial of a
 * quarantined part is made by the gateway whose write recorded it. Runs on the control-plane event loop.
 */
package org.jujubelead.gateway.quarantine

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.netty.channel.EventLoop
import org.jujubelead.core.quarantine.PartKey
import org.jujubelead.core.quarantine.PartRecord
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.schedule.scheduleOnce
import org.jujubelead.gateway.store.StoreAnswer
import org.jujubelead.gateway.store.StoreClient
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.StoredValue
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @param onEvidence receives evidence that other gateways have stored.
 * @param onTrial called when a trial of a part was recorded for this gateway.
 */
internal class EvidenceStore(
    private val store: StoreClient,
    private val loop: EventLoop,
    private val log: EventLog,
    private val decoders: WireDecoders = WireDecoders,
    private val onEvidence: (Map<PartKey, PartRecord>) -> Unit,
    private val onTrial: (PartKey, PartRecord) -> Unit,
) {
    private var stored: Map<PartKey, PartRecord> = emptyMap()
    private var local: Map<PartKey, PartRecord> = emptyMap()
    private var trial: Pair<PartKey, PartRecord>? = null
    private var lastWriteSucceeded = false
    private val writes = RepeatingTask(
        loop = loop,
        name = "evidence",
        waitTime = { if (lastWriteSucceeded) MIN_WRITE_INTERVAL else RETRY_INTERVAL },
        work = ::writeIfNeeded,
    )

    /** Revision of the stored evidence that this gateway knows; null if there is none. */
    var revision: StoreRevision? = null
        private set

    /** Applies the [value] that was read from the store in [era]; null if there is none. */
    fun onRead(value: StoredValue?, era: StoreEra) {
        if (value != null) return onStored(value)
        val known = revision ?: return
        if (known.era >= era) return
        revision = null
        stored = emptyMap()
        writes.request()
    }

    private fun onStored(value: StoredValue) {
        if (isKnown(value.revision)) return
        revision = value.revision
        stored = decodeEvidence(value.text).getOrElse {
            log.log(LogEvent.EVIDENCE_UNREADABLE, "from" to "store", "detail" to it.detail)
            emptyMap()
        }
        trial = trial?.takeIf(::isNew)
        onEvidence(stored)
        writes.request()
    }

    private fun isKnown(read: StoreRevision): Boolean = revision?.let { read <= it } ?: false

    /**
     * Stores what [records] add to the stored evidence: at once if this gateway [observed] it, else only if the gateway
     * that did has not stored it for a while.
     */
    fun publish(records: Map<PartKey, PartRecord>, observed: Boolean) {
        local = records
        if (observed) return writes.request()
        loop.scheduleOnce(FOREIGN_EVIDENCE_DELAY, "evidence", writes::request)
    }

    /** Records a trial of the part of [key]; this gateway makes it unless another one was faster. */
    fun requestTrial(key: PartKey, record: PartRecord) {
        trial = (key to record).takeIf(::isNew)
        writes.request()
    }

    private fun isNew(requested: Pair<PartKey, PartRecord>): Boolean =
        (stored[requested.first]?.trials ?: 0) < requested.second.trials

    private fun writeIfNeeded(turn: RepeatingTask.Turn) {
        val now = store.clock.read().wallMillis
        val current = (stored + local.mapValues { (key, record) -> stored[key]?.merge(record) ?: record })
            .filterValues { now < it.expiresMillis }
        val requested = trial
        val missing = local.any { (key, record) -> addsEvidence(record, stored[key]) }
        if (!missing && requested == null) return turn.endIdle()
        val next = if (requested == null) {
            current
        } else {
            current + (requested.first to (current[requested.first]?.merge(requested.second) ?: requested.second))
        }
        write(next, requested, turn)
    }

    /** Suspicions that never led to a quarantine are stored, but not that they were cleared. */
    private fun addsEvidence(record: PartRecord, known: PartRecord?): Boolean {
        if (!record.suspected && known?.quarantined != true) return false
        return known == null || !known.crashes.keys.containsAll(record.crashes.keys) ||
            known.merge(record).quarantined != known.quarantined
    }

    private fun write(
        next: Map<PartKey, PartRecord>,
        requested: Pair<PartKey, PartRecord>?,
        turn: RepeatingTask.Turn,
    ) {
        val body = StoreRequests.replace(KEY, revision, encodeEvidence(next), store.era ?: StoreEra.UNKNOWN)
        lastWriteSucceeded = false
        store.post(
            StoreRequests.TRANSACTION_PATH,
            body,
            done = turn.lastStep { result ->
                trial = null
                lastWriteSucceeded = result.get()?.status == STATUS_OK
                result.fold({ onWriteResponse(it, next, requested) }, { notStored(it.detail) })
            },
        )
    }

    private fun onWriteResponse(
        answer: StoreAnswer,
        next: Map<PartKey, PartRecord>,
        requested: Pair<PartKey, PartRecord>?,
    ) {
        when (answer.status) {
            STATUS_OK -> decoders.writeRevision(answer.body, answer.era)
                .onSuccess { onWritten(it, next, requested) }
                .onFailure { notStored(it.detail) }

            STATUS_CONFLICT -> decoders.conflict(answer.body, answer.era)
                .onSuccess { items -> onRead(items[KEY], answer.era) }
                .onFailure { notStored(it.detail) }

            else -> notStored("status ${answer.status}")
        }
    }

    private fun notStored(detail: String) = log.log(LogEvent.EVIDENCE_NOT_STORED, "detail" to detail)

    private fun onWritten(
        written: StoreRevision,
        next: Map<PartKey, PartRecord>,
        requested: Pair<PartKey, PartRecord>?,
    ) {
        if (isKnown(written)) return
        revision = written
        stored = next
        requested?.let { (key, _) -> onTrial(key, next.getValue(key)) }
    }

    companion object {
        const val KEY: String = "quarantine/prompt-parts"

        /** Limits the writes while evidence arrives in pieces. */
        private val MIN_WRITE_INTERVAL: Duration = 300.milliseconds

        /** Limits the writes while the store fails or other gateways write. */
        private val RETRY_INTERVAL: Duration = 700.milliseconds

        /** Longer than the observer needs for a write and this gateway for the next poll. */
        private val FOREIGN_EVIDENCE_DELAY: Duration = 3.seconds
        private const val STATUS_OK = 200
        private const val STATUS_CONFLICT = 412
    }
}
