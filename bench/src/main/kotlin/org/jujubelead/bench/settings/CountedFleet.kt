/** Many settings distributors in one process, with counters of the bytes they transfer. */
package org.jujubelead.bench.settings

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import com.google.protobuf.MessageLite
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue
import org.jujubelead.protocol.BranchReply
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.SubscribeRequest
import org.jujubelead.settings.RelaySelection
import org.jujubelead.settings.SettingsDistributor
import org.jujubelead.settings.SettingsPeerError
import org.jujubelead.settings.SettingsPeers
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueService
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Protocol overhead of a message in bytes: HTTP/2 frame headers, a TLS record, and TCP and IP headers. A call also has
 * compressed header fields in both directions. The values are estimates, because nothing is sent over a network here.
 */
private const val MESSAGE_OVERHEAD = 100L
private const val CALL_OVERHEAD = 150L

private const val ZONES = 12

/** Numbers of entry instances and agents at the design size. */
internal const val TARGET_ENTRIES = 1_400
internal const val TARGET_AGENTS = 6_900
internal const val TARGET_PROCESSES = TARGET_ENTRIES + TARGET_AGENTS

/** The role of a process in the distribution of settings. */
internal enum class FleetPart { RELAY, ENTRY, AGENT }

/** Time at which a process applied a revision. A superseded revision can be missing. */
internal class Arrival(val process: Int, val revision: Long, val nanos: Long)

/** [size] processes in 12 zones, with entry instances and agents in the same proportion as at the design size. */
internal class CountedFleet(size: Int, private val service: KeyValueService, seed: Long) {
    private val random = Random(seed)
    private val records = List(size) { i ->
        // Distributes the entry instances evenly across the zones.
        val isEntry = (i / ZONES) * TARGET_ENTRIES % TARGET_PROCESSES < TARGET_ENTRIES
        InstanceRecord(
            id = InstanceId("i-$i"),
            incarnation = Incarnation("1"),
            zone = ZoneId("zone-${i % ZONES}"),
            role = if (isEntry) InstanceRole.ENTRY else InstanceRole.AGENT,
            host = "127.0.0.1",
            port = 1,
        )
    }
    private val instances = MutableStateFlow(records)
    private val index = records.withIndex().associate { it.value.id to it.index }
    private val bytes = List(size) { AtomicLong() }
    private val distributors = records.mapIndexed { i, record ->
        SettingsDistributor(
            self = record,
            kv = CountedStore(InMemoryKeyValueStore(service, System::currentTimeMillis), bytes[i]),
            peers = CountedPeers(record),
            instances = instances,
            random = Random(random.nextLong()),
        )
    }
    val arrivals: List<MutableList<Arrival>> = List(size) { ArrayList() }

    private val selection = RelaySelection(records)

    fun part(process: Int): FleetPart = when {
        selection.isRelay(records[process]) -> FleetPart.RELAY
        records[process].role == InstanceRole.ENTRY -> FleetPart.ENTRY
        else -> FleetPart.AGENT
    }

    /** Returns the bytes sent and received so far by each process. */
    fun bytes(): List<Long> = bytes.map { it.get() }

    fun isRunningAt(revision: Long): Boolean =
        distributors.all { (it.settings.value?.revision?.value ?: 0L) >= revision }

    fun start(scope: CoroutineScope) = distributors.forEachIndexed { i, distributor ->
        scope.launch {
            distributor.settings.filterNotNull().collect {
                arrivals[i] += Arrival(process = i, revision = it.revision.value, nanos = System.nanoTime())
            }
        }
        scope.launch { distributor.run() }
    }

    private inner class CountedPeers(private val self: InstanceRecord) : SettingsPeers {
        private fun distributor(peer: InstanceRecord) = distributors[index.getValue(peer.id)]

        private fun count(peer: InstanceRecord, message: MessageLite, overhead: Long) {
            val size = message.serializedSize + overhead
            bytes[index.getValue(self.id)].addAndGet(size)
            bytes[index.getValue(peer.id)].addAndGet(size)
        }

        private suspend fun delayMessage(peer: InstanceRecord) {
            // The longer of the two reference latencies, rounded up to the timer resolution.
            delay(if (peer.zone == self.zone) IN_ZONE else BETWEEN_ZONES)
        }

        override fun subscribe(peer: InstanceRecord, request: SubscribeRequest): Flow<SettingsUpdate> = flow {
            count(peer, request, CALL_OVERHEAD)
            delayMessage(peer)
            distributor(peer).server.subscribe(request).map {
                delayMessage(peer)
                count(peer, it, MESSAGE_OVERHEAD)
                it
            }.collect { emit(it) }
        }

        override suspend fun exchangeDigest(
            peer: InstanceRecord,
            digest: Digest,
        ): Result<Digest, SettingsPeerError> = call(peer, digest) { distributor(peer).server.exchangeDigest(digest) }

        override suspend fun fetchBranches(
            peer: InstanceRecord,
            request: BranchRequest,
        ): Result<BranchReply, SettingsPeerError> =
            call(peer, request) { distributor(peer).server.fetchBranches(request) }

        private suspend fun <T : MessageLite> call(
            peer: InstanceRecord,
            request: MessageLite,
            answer: () -> T,
        ): Result<T, SettingsPeerError> {
            delayMessage(peer)
            val reply = answer()
            delayMessage(peer)
            count(peer, request, CALL_OVERHEAD)
            count(peer, reply, CALL_OVERHEAD)
            return Ok(reply)
        }
    }

    private companion object {
        val IN_ZONE = 1.milliseconds
        val BETWEEN_ZONES = 2.milliseconds
    }
}

/** Counts the bytes that relays read from the key-value service. */
private class CountedStore(private val store: KeyValueStore, private val bytes: AtomicLong) : KeyValueStore by store {
    override suspend fun get(key: String): Result<VersionedValue?, KeyValueError> =
        store.get(key).onSuccess { count(it) }

    override suspend fun watch(key: String, after: Version?, wait: Duration): Result<VersionedValue?, KeyValueError> =
        store.watch(key, after, wait).onSuccess { count(it) }

    private fun count(value: VersionedValue?) {
        bytes.addAndGet((value?.bytes?.size ?: 0) + CALL_OVERHEAD * 2)
    }
}
