/**
 * Polls the configuration and the replicas from the store.
 *
 * The configuration is polled by a transaction that only compares its revision. A watch without events would not prove
 * that the configuration is current, and the age of the last successful poll limits how long requests with keys may be
 * served. The revision in use never decreases. Runs on the control-plane event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.route.Configuration
import org.jujubelead.core.time.ClockReading
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.quarantine.EvidenceStore
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.StoredValue
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** @param onChange receives each new state. */
internal class StorePoller(
    private val store: StoreClient,
    loop: EventLoop,
    private val log: EventLog,
    private val pollInterval: Duration,
    relay: ReplicaRelay,
    private val evidence: EvidenceStore,
    private val decoders: WireDecoders = WireDecoders,
    private val onChange: (ControlState) -> Unit,
) {
    private var state = ControlState()
    private var storeLost = false

    /** Revision of the last configuration that was logged as not applied. */
    private var notApplied: Revision? = null
    private val replicas = ReplicaPoller(
        store = store,
        loop = loop,
        log = log,
        pollInterval = pollInterval,
        relay = relay,
        decoders = decoders,
        onChange = { list ->
            state = state.copy(replicas = list)
            onChange(state)
        },
        onLost = ::onStoreLost,
    )
    private var polledAt = store.clock.now()
    private val polls =
        RepeatingTask(loop, "configuration", waitTime = ::timeToNextPoll, work = ::pollConfiguration)

    public fun start() {
        polls.start()
        replicas.start()
    }

    private fun timeToNextPoll(): Duration {
        val interval = if (state.configuration == null) INITIAL_POLL_INTERVAL else pollInterval
        return (polledAt + interval - store.clock.now()).coerceAtLeast(MIN_POLL_DELAY)
    }

    private fun pollConfiguration(turn: RepeatingTask.Turn) {
        val sentAt = store.clock.read()
        polledAt = sentAt.monotonic
        val known = state.configuration?.revision
        val revisions = mapOf(StoreRequests.CONFIGURATION_KEY to known, EvidenceStore.KEY to evidence.revision)
        store.post(
            StoreRequests.TRANSACTION_PATH,
            StoreRequests.compareRevisions(revisions),
            done = turn.lastStep { result ->
                result.fold({ onConfigurationResponse(it, known, sentAt) }, { onStoreLost(it.detail) })
            },
        )
    }

    private fun onConfigurationResponse(answer: TextResponse, known: Revision?, sentAt: ClockReading) {
        when {
            answer.status == STATUS_OK && known != null -> onConfirmed(sentAt)

            answer.status == STATUS_OK -> onStoreRegained()

            answer.status == STATUS_CONFLICT -> {
                val current = decoders.conflict(answer.body).getOrElse { return unreadable(it.detail) }
                current[EvidenceStore.KEY]?.let(evidence::onStored)
                current[StoreRequests.CONFIGURATION_KEY]?.let { apply(it, sentAt) }
            }

            else -> onStoreLost("status ${answer.status}")
        }
    }

    private fun apply(stored: StoredValue, sentAt: ClockReading) {
        onStoreRegained()
        val known = state.configuration
        if (known != null && stored.revision == known.revision) return onConfirmed(sentAt)
        if (known != null && stored.revision < known.revision) return onNotApplied(stored, known)
        val read = decoders.configuration(stored.text, stored.revision).getOrElse { return unreadable(it.detail) }
        log.log(
            LogEvent.CONFIGURATION_APPLIED,
            "version" to read.version,
            "revision" to read.revision.value,
            "era" to store.era?.value,
            "previous" to known?.revision?.value,
            "routes" to read.routes.size,
            "readMillis" to (store.clock.now() - sentAt.monotonic).inWholeMilliseconds,
        )
        state = state.copy(configuration = read, confirmedAt = sentAt)
        onChange(state)
    }

    private fun onNotApplied(stored: StoredValue, known: Configuration) {
        if (stored.revision == notApplied) return
        notApplied = stored.revision
        val version = decoders.configuration(stored.text, stored.revision).get()?.version
        log.log(
            LogEvent.CONFIGURATION_NOT_APPLIED,
            "version" to version,
            "revision" to stored.revision.value,
            "era" to store.era?.value,
            "inUse" to known.version,
            "inUseRevision" to known.revision.value,
        )
    }

    private fun onConfirmed(sentAt: ClockReading) {
        onStoreRegained()
        state = state.copy(confirmedAt = sentAt, replicasReadAt = replicas.readAt)
        onChange(state)
    }

    private fun unreadable(detail: String) = log.log(LogEvent.CONFIGURATION_UNREADABLE, "detail" to detail)

    private fun onStoreLost(detail: String) {
        if (!storeLost) log.log(LogEvent.STORE_LOST, "detail" to detail)
        storeLost = true
    }

    private fun onStoreRegained() {
        if (storeLost) log.log(LogEvent.STORE_REGAINED, "era" to store.era?.value)
        storeLost = false
    }

    private companion object {
        /** Shorter until the first successful read, since the instance serves nothing before it. */
        val INITIAL_POLL_INTERVAL: Duration = 150.milliseconds

        /** Minimum delay between polls, so that a failing store is not polled in a tight loop. */
        val MIN_POLL_DELAY: Duration = 50.milliseconds
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 412
    }
}
