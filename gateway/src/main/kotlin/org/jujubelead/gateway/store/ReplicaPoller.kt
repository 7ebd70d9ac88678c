/**
 * Polls the list of registered replicas, from the reader of the zone or from the store.
 *
 * Polling is used instead of a watch since replicas renew their entries so often that a watch would deliver more events
 * than there are polls. Runs on the control-plane event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.replica.ReplicaDirectory
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.ReplicaPage
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * @param onChange receives the usable replicas when they change, and once after the first read.
 * @param onLost called when the store cannot be read.
 */
public class ReplicaPoller(
    private val store: StoreClient,
    loop: EventLoop,
    private val log: EventLog,
    private val pollInterval: Duration,
    private val relay: ReplicaRelay,
    private val decoders: WireDecoders = WireDecoders,
    private val onChange: (List<Replica>) -> Unit,
    private val onLost: (String) -> Unit,
) {
    private val directory = ReplicaDirectory()
    private var known: List<Replica>? = null

    /** When the latest list that could be read was requested from the store; null before the first one. */
    public var readAt: Timestamp? = null
        private set
    private var unreadableKeys: List<String> = emptyList()

    /** When the current read of the store began, or when the zone's reader answered. */
    private var polledAt = Timestamp.ZERO
    private var fromRelay = false
    private val polls = RepeatingTask(loop, "replica list", waitTime = ::timeToNextPoll, work = ::poll)

    public fun start(): Unit = polls.start()

    private fun timeToNextPoll(): Duration {
        val interval = when {
            fromRelay -> pollInterval / RELAY_POLL_RATE
            known == null -> INITIAL_POLL_INTERVAL
            else -> pollInterval
        }
        return (polledAt + interval - store.clock.now()).coerceAtLeast(MIN_POLL_DELAY)
    }

    private fun poll(turn: RepeatingTask.Turn) {
        if (!relay.hasZoneReader) return readStore(turn)
        relay.fetch(
            turn.step { shared ->
                val outdated = shared == null || shared.era < (store.era ?: StoreEra.UNKNOWN)
                if (outdated) readStore(turn) else onSharedList(shared, turn)
            },
        )
    }

    private fun onSharedList(shared: ReadPages, turn: RepeatingTask.Turn) {
        polledAt = store.clock.now()
        fromRelay = true
        val read = shared.pages.mapNotNull { decode(it, shared.era) }
        if (read.size == shared.pages.size) applyPages(read, shared.sentAt)
        turn.end()
    }

    private fun readStore(turn: RepeatingTask.Turn) {
        val sentAt = store.clock.read()
        polledAt = sentAt.monotonic
        fromRelay = false
        store.readRange(StoreRequests.REPLICAS, turn, decoders::replicaPage) { read ->
            val pages = read.pages.map { it.content }
            val failure = read.failure
            if (failure == null) {
                relay.recordRead(sentAt, checkNotNull(read.era), read.pages.map { it.body })
                applyPages(pages, sentAt.monotonic)
            } else {
                onReadFailed(failure)
                if (pages.isNotEmpty()) applyEntries(pages, sentAt.monotonic)
            }
            turn.end()
        }
    }

    private fun decode(body: String, era: StoreEra): ReplicaPage? = decoders.replicaPage(body, era).getOrElse {
        onReadFailed(it.detail)
        null
    }

    private fun onReadFailed(detail: String) {
        directory.recordReadFailure(store.clock.now())
        onLost(detail)
    }

    private fun applyPages(pages: List<ReplicaPage>, sentAt: Timestamp) {
        reportUnreadable(pages.flatMap { it.unreadableKeys })
        readAt = sentAt
        applyEntries(pages, sentAt)
    }

    /** Applies the entries of [pages]. After a failed read these are a part of the list, and the others are kept. */
    private fun applyEntries(pages: List<ReplicaPage>, sentAt: Timestamp) {
        val revision = pages.last().revision
        directory.applyListing(pages.flatMap { it.replicas }, revision, sentAt, receivedAt = store.clock.now())
        if (directory.replicas == known) return
        val before = known.orEmpty().mapTo(HashSet()) { it.id.value }
        val after = directory.replicas.mapTo(HashSet()) { it.id.value }
        log.log(
            LogEvent.REPLICAS_CHANGED,
            "usable" to after.size,
            "added" to (after - before).joinToString(" "),
            "removed" to (before - after).joinToString(" "),
            "revision" to revision.number,
            "era" to revision.era.value,
            "ageMillis" to (store.clock.now() - sentAt).inWholeMilliseconds,
        )
        onChange(directory.replicas)
        known = directory.replicas
    }

    private fun reportUnreadable(keys: List<String>) {
        if (keys == unreadableKeys) return
        unreadableKeys = keys
        val listed = keys.take(MAX_LISTED_KEYS).joinToString(" ").ifEmpty { null }
        log.log(LogEvent.REPLICA_ENTRIES_UNREADABLE, "count" to keys.size, "keys" to listed)
    }

    private companion object {
        /**
         * The zone's reader is polled more often than it polls the store, so that sharing adds only a third of an
         * interval to the age of a list.
         */
        const val RELAY_POLL_RATE = 3

        /** Shorter until the first successful read, since the instance serves nothing before it. */
        val INITIAL_POLL_INTERVAL: Duration = 150.milliseconds

        /** A log line lists no more keys than this. */
        const val MAX_LISTED_KEYS = 10

        /** Minimum delay between polls, so that a failing store is not polled in a tight loop. */
        val MIN_POLL_DELAY: Duration = 50.milliseconds
    }
}
