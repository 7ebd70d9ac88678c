/**
 * Polls the configuration and the replicas from the store.
 *
 * The configuration is polled by a transaction that only compares its revision. A watch without events would not prove
 * that the configuration is current, and the age of the last successful poll limits how long requests with keys may be
 * served. The version in use never decreases. Runs on the control-plane event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.route.Configuration
import org.jujubelead.core.store.ConfigurationOrder
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.core.time.ClockReading
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
    /** A poll that compares the revision [known], if any, with that of the store in [era]. */
    private class Poll(val known: StoreRevision?, val era: StoreEra, val sentAt: ClockReading)

    private var state = ControlState()
    private val order = ConfigurationOrder()
    private val settledEra = SettledEraRecord(store, decoders)
    private var storeLost = false

    /** The newest configuration that was read, until it may be used; null once it is in use. */
    private var pending: Configuration? = null
    private var appliedRevision: StoreRevision? = null
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

    init {
        store.onNewEra { polls.expedite() }
    }

    public fun start() {
        polls.start()
        replicas.start()
    }

    private fun timeToNextPoll(): Duration {
        val settling = !order.isSettled(polledAt)
        val interval = when {
            state.configuration == null -> INITIAL_POLL_INTERVAL
            settling -> pollInterval / SETTLING_POLL_RATE
            else -> pollInterval
        }
        return (polledAt + interval - store.clock.now()).coerceAtLeast(MIN_POLL_DELAY)
    }

    private fun pollConfiguration(turn: RepeatingTask.Turn) {
        val sentAt = store.clock.read()
        polledAt = sentAt.monotonic
        // Before the first answer no revision is known, and the era makes no difference.
        val poll = Poll(order.latestRevision, store.era ?: StoreEra.UNKNOWN, sentAt)
        val revisions = mapOf(
            StoreRequests.CONFIGURATION_KEY to poll.known,
            EvidenceStore.KEY to evidence.revision,
            SettledEraRecord.KEY to settledEra.revision,
        )
        store.post(
            StoreRequests.TRANSACTION_PATH,
            StoreRequests.compareRevisions(revisions, poll.era),
            done = turn.lastStep { result ->
                result.fold({ onConfigurationResponse(it, poll) }, { onStoreLost(it.detail) })
            },
        )
    }

    private fun onConfigurationResponse(answer: StoreAnswer, poll: Poll) {
        order.onAnswer(answer.era, store.clock.now())
        when (answer.status) {
            STATUS_OK -> {
                onStoreRegained()
                // Numbers of another era than the one that answered do not tell whether anything has changed.
                if (answer.era != poll.era) return polls.expedite()
                if (poll.known?.era == poll.era) onLatestFound(poll.sentAt)
            }

            STATUS_CONFLICT -> {
                onStoreRegained()
                val current = decoders.conflict(answer.body, answer.era).getOrElse { return unreadable(it.detail) }
                evidence.onRead(current[EvidenceStore.KEY], answer.era)
                settledEra.onRead(current[SettledEraRecord.KEY])
                current[StoreRequests.CONFIGURATION_KEY]?.let { onConfiguration(it, poll.sentAt) }
            }

            else -> onStoreLost("status ${answer.status}")
        }
    }

    private fun onConfiguration(stored: StoredValue, sentAt: ClockReading) {
        if (stored.revision != order.latestRevision) {
            val read = decoders.configuration(stored.text).getOrElse { return unreadable(it.detail) }
            val newest = order.onRead(stored.revision, read.version, sentAt.monotonic)
            when {
                !newest -> logNotApplied(read.version, stored.revision)
                read.version != state.configuration?.version -> pending = read
            }
        }
        onLatestFound(sentAt)
    }

    /** Handles that the latest configuration was found in the store by a read sent at [sentAt]. */
    private fun onLatestFound(sentAt: ClockReading) {
        settledEra.era?.let(order::onSettledElsewhere)
        order.onUnchanged(sentAt.monotonic)
        val proven = order.isProof(sentAt.monotonic)
        if (proven) order.latestRevision?.let { settledEra.record(it.era) }
        // A gateway without any configuration cannot tell an old one from the newest.
        if (proven || state.configuration != null) usePending(sentAt)
        if (state.configuration == null) return
        state = state.copy(
            confirmedAt = if (proven) sentAt else state.confirmedAt,
            replicasReadAt = replicas.readAt,
            awaitsProof = !proven && !order.isSettled(sentAt.monotonic),
        )
        onChange(state)
    }

    private fun usePending(sentAt: ClockReading) {
        val next = pending ?: return
        log.log(
            LogEvent.CONFIGURATION_APPLIED,
            "version" to next.version,
            "revision" to order.latestRevision?.number,
            "era" to order.latestRevision?.era?.value,
            "previous" to appliedRevision?.number,
            "routes" to next.routes.size,
            "proven" to order.isProof(sentAt.monotonic),
            "readMillis" to (store.clock.now() - sentAt.monotonic).inWholeMilliseconds,
        )
        state = state.copy(configuration = next)
        appliedRevision = order.latestRevision
        pending = null
    }

    private fun logNotApplied(version: Long, revision: StoreRevision) = log.log(
        LogEvent.CONFIGURATION_NOT_APPLIED,
        "version" to version,
        "revision" to revision.number,
        "era" to revision.era.value,
        "newest" to order.newestVersion,
    )

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

        /** Polls in an interval while the newest configuration may still have to be written again. */
        const val SETTLING_POLL_RATE = 3

        /** Minimum delay between polls, so that a failing store is not polled in a tight loop. */
        val MIN_POLL_DELAY: Duration = 50.milliseconds
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 412
    }
}
