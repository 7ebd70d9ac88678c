package org.jujubelead.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.SubscribeRequest
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueFaults
import org.jujubelead.standins.KeyValueService
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Configuration of the distribution. Tests disable parts of it to verify that the checker detects the failure. */
internal class FleetConfig(
    val timing: DistributionTiming = DistributionTiming(),
    val policy: RevisionPolicy = RevisionPolicy.HIGHER_ONLY,
    val operatorStore: (KeyValueStore) -> KeyValueStore = { it },
)

internal fun record(id: String, zone: ZoneId, role: InstanceRole = InstanceRole.ENTRY) = InstanceRecord(
    id = InstanceId(id),
    incarnation = Incarnation("1"),
    zone = zone,
    role = role,
    host = "127.0.0.1",
    port = 1,
)

private const val ENTRIES_PER_ZONE = 4
private val editedFields = listOf("workspaces/acme/priority", "defaults/priority", "zones/zone-a/drain_lead_s")

/** Simulates processes in three zones that share a key-value service, in virtual time with faults drawn from [seed]. */
internal class SimulatedFleet(private val scope: TestScope, seed: Long, private val config: FleetConfig) {
    private class Process(
        val name: String,
        val record: InstanceRecord,
        val distributor: SettingsDistributor,
        val job: Job,
    )

    private val random = Random(seed)
    private val zones = List(3) { ZoneId("zone-$it") }
    private val service = KeyValueService()
    private val events = ArrayList<SettingsEvent>()
    private val running = LinkedHashMap<InstanceId, Process>()
    private val instances = MutableStateFlow<List<InstanceRecord>>(emptyList())
    private val zoneFaults = zones.associateWith { KeyValueFaults() }
    private val operatorFaults = KeyValueFaults(lostAnswers = 0.3, lateWrites = 0.2, lateWriteDelay = 900.milliseconds)
    private val isolatedZones = ArrayList<ZoneId>()
    private val zonesWithoutService = ArrayList<ZoneId>()
    private val stalledConnections = HashSet<Pair<InstanceId, InstanceId>>()
    private val disconnectedZones = HashSet<ZoneId>()
    private val ids = zones.flatMap { zone ->
        List(ENTRIES_PER_ZONE) { record("$zone-e$it", zone) } + record("$zone-a", zone, InstanceRole.AGENT)
    }
    private var startCount = 0

    private fun keyValueStore(faults: KeyValueFaults) =
        InMemoryKeyValueStore(service, { scope.currentTime }, faults, Random(random.nextLong())) { wait, action ->
            scope.backgroundScope.launch {
                delay(wait)
                action()
            }
        }

    // Processes

    private fun start(record: InstanceRecord) {
        startCount += 1
        val name = "${record.id}#$startCount"
        val distributor = SettingsDistributor(
            self = record,
            kv = keyValueStore(zoneFaults.getValue(record.zone)),
            peers = Network(record),
            instances = instances,
            random = Random(random.nextLong()),
            timing = config.timing,
            policy = config.policy,
        )
        events += SettingsEvent.Started(scope.currentTime, name)
        if (record.zone in disconnectedZones) events += SettingsEvent.Disconnected(scope.currentTime, name)
        val job = scope.backgroundScope.launch {
            launch {
                distributor.settings.filterNotNull().collect {
                    events += SettingsEvent.Activated(scope.currentTime, name, it.revision)
                }
            }
            distributor.run()
        }
        running[record.id] = Process(name, record, distributor, job)
    }

    private fun stop(id: InstanceId) {
        val process = running.remove(id) ?: return
        process.job.cancel()
        events += SettingsEvent.Stopped(scope.currentTime, process.name)
    }

    /** Updates the instance list with a delay of up to 3 s. */
    private fun updateList() = scope.backgroundScope.launch {
        delay(random.nextLong(500, 3_000))
        instances.value = ids.filter { it.id in running }
    }

    private fun canReach(a: ZoneId, b: ZoneId) = a == b || (a !in isolatedZones && b !in isolatedZones)

    /** The network as seen by [self]. */
    private inner class Network(private val self: InstanceRecord) : SettingsPeers {
        private fun processAt(
            peer: InstanceRecord,
        ): Process? = running[peer.id]?.takeIf { canReach(self.zone, peer.zone) }

        /** Most messages take one or two milliseconds. Some are delayed, so that messages arrive out of order. */
        private suspend fun transmit() = delay(
            if (random.nextInt(20) ==
                0
            ) {
                random.nextLong(400)
            } else {
                random.nextLong(1, 3)
            },
        )

        override fun subscribe(peer: InstanceRecord, request: SubscribeRequest): Flow<SettingsUpdate> = flow {
            transmit()
            val server = processAt(peer) ?: return@flow
            stalledConnections -= self.id to peer.id
            val updates = Channel<SettingsUpdate>(Channel.UNLIMITED)
            val job = scope.backgroundScope.launch {
                server.distributor.server.subscribe(request).collect {
                    if (self.id to peer.id !in
                        stalledConnections
                    ) {
                        updates.send(it)
                    }
                }
            }
            val end = server.job.invokeOnCompletion { updates.close() }
            try {
                for (update in updates) {
                    transmit()
                    if (processAt(peer) !== server) return@flow
                    emit(update)
                }
            } finally {
                job.cancel()
                end.dispose()
            }
        }

        private suspend fun <T> call(
            peer: InstanceRecord,
            handle: (SettingsServer) -> T,
        ): Result<T, SettingsPeerError> {
            transmit()
            val server = processAt(peer) ?: return Err(SettingsPeerError.Unreachable("down"))
            val reply = handle(server.distributor.server)
            transmit()
            return if (processAt(peer) === server) Ok(reply) else Err(SettingsPeerError.Unreachable("down"))
        }

        override suspend fun exchangeDigest(peer: InstanceRecord, digest: Digest) = call(peer) {
            it.exchangeDigest(digest)
        }

        override suspend fun fetchBranches(peer: InstanceRecord, request: BranchRequest) =
            call(peer) { it.fetchBranches(request) }
    }

    // Operators

    private suspend fun runOperator(name: String) {
        val kv = config.operatorStore(keyValueStore(operatorFaults))
        val store = SettingsStore(kv, Random(random.nextLong()), maxRevisions = 30)
        repeat(6) { n ->
            delay(random.nextLong(200, 4_500))
            val operation = OperationId("$name-$n")
            val current = store.read().getOrElse { return@repeat }
            // The other operator's change can be accepted in the meantime.
            delay(random.nextLong(0, 1_500))
            val field = listOf(
                "workspaces/acme/priority",
                "defaults/priority",
                "zones/zone-a/drain_lead_s",
            ).random(random)
            val next =
                flatten(current?.tree ?: tree()) + (SettingsPath(field) to FieldValue.Scalar(random.nextInt(1_000)))
            val outcome = store.apply(edit(operation.value, current?.revision?.value, unflatten(next))).fold(
                { if (it.changed) ReportedOutcome.Accepted(it.revision) else ReportedOutcome.Refused },
                { if (it is SettingsStoreError.OutcomeUnknown) ReportedOutcome.Unknown else ReportedOutcome.Refused },
            )
            events += SettingsEvent.Reported(scope.currentTime, operation, outcome)
        }
    }

    // Faults

    private suspend fun injectFault() {
        delay(random.nextLong(1_000, 15_000))
        when (random.nextInt(6)) {
            0 -> injectZoneFault(15_000, zones, zonesWithoutService)

            1 -> killProcesses()

            2 -> injectZoneFault(12_000, listOf(zones.random(random)), isolatedZones)

            3 -> injectZoneFault(12_000, listOf(zones.random(random)), zonesWithoutService)

            4 -> ids.forEach { a ->
                ids.forEach { b -> if (random.nextInt(3) == 0) stalledConnections += a.id to b.id }
            }

            5 -> {
                zoneFaults.values.forEach { it.latency = 400.milliseconds }
                delay(random.nextLong(500, 12_000))
                zoneFaults.values.forEach { it.latency = 2.milliseconds }
            }
        }
    }

    private suspend fun injectZoneFault(maxMillis: Long, affected: List<ZoneId>, fault: MutableList<ZoneId>) {
        fault += affected
        updateConnectivity()
        delay(random.nextLong(500, maxMillis))
        affected.forEach { fault -= it }
        updateConnectivity()
    }

    private fun hasServiceAccess(zone: ZoneId) = zone !in isolatedZones && zone !in zonesWithoutService

    /** Kills all relays of a zone, or random processes, and later starts replacements. */
    private suspend fun killProcesses() {
        val selection = RelaySelection(instances.value)
        val relays = selection.relays(zones.random(random)).map { it.id }
        val killed = if (random.nextBoolean()) {
            relays
        } else {
            ids.map {
                it.id
            }.shuffled(random).take(random.nextInt(1, 6))
        }
        killed.forEach { stop(it) }
        updateList()
        delay(random.nextLong(100, 6_000))
        ids.filter { it.id in killed && it.id !in running }.forEach { start(it) }
        updateList()
    }

    /** A zone is connected if it, or a zone that it can reach, has access to the key-value service. */
    private fun updateConnectivity() {
        operatorFaults.reachable = zones.any { it !in zonesWithoutService }
        zones.forEach { zone ->
            zoneFaults.getValue(zone).reachable = hasServiceAccess(zone)
            val isConnected = zones.any { canReach(zone, it) && hasServiceAccess(it) }
            val members = running.values.filter { it.record.zone == zone }.map { it.name }
            if (isConnected &&
                disconnectedZones.remove(zone)
            ) {
                events += members.map { SettingsEvent.Reconnected(scope.currentTime, it) }
            }
            if (!isConnected &&
                disconnectedZones.add(zone)
            ) {
                events += members.map { SettingsEvent.Disconnected(scope.currentTime, it) }
            }
        }
    }

    suspend fun run(): List<SettingsEvent> {
        instances.value = ids
        ids.forEach { start(it) }
        val jobs = List(2) { scope.backgroundScope.launch { runOperator("operator-$it") } } +
            List(3) { scope.backgroundScope.launch { injectFault() } }
        jobs.forEach { it.join() }
        delay(6.seconds)
        val accepted = service.acceptedWrites().filter { it.key == ROOT_KEY }.mapIndexed { i, write ->
            SettingsEvent.Accepted(write.atMillis, Revision(i + 1L), checkNotNull(write.operation))
        }
        running.keys.toList().forEach { id -> running.getValue(id).job.cancel() }
        events += SettingsEvent.RecordingEnded(scope.currentTime)
        return (events + accepted).sortedBy { it.at }
    }
}
