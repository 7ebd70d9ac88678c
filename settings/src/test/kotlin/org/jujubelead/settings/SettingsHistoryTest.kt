package org.jujubelead.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.test.runTest
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue
import org.jujubelead.protocol.SettingsRoot
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull
import strikt.assertions.single
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

class SettingsHistoryTest {
    private fun runHistory(seed: Long, config: FleetConfig = FleetConfig()): List<SettingsEvent> {
        var events = emptyList<SettingsEvent>()
        runTest(timeout = 1.minutes) { events = SimulatedFleet(this, seed, config).run() }
        return events
    }

    private fun violations(
        seed: Long,
        config: FleetConfig = FleetConfig(),
    ): List<Pair<Long, SettingsViolation>> =
        checkSettingsHistory(runHistory(seed, config)).map { seed to it }

    /** Runs seeds until a violation of type [V] is found. */
    private inline fun <reified V : SettingsViolation> firstViolation(config: FleetConfig): SettingsViolation? =
        (1L..SEEDS).asSequence().flatMap { violations(it, config) }.map { it.second }.firstOrNull { it is V }

    /**
     * Checks guarantee P7 with two concurrent operators, lost replies, delayed writes, and up to three overlapping
     * faults: outages, killed relays, isolated zones, stalled connections and a slow key-value service.
     */
    @Test
    fun `accepted revisions are in force within the bound and never revert`() {
        val pool = Executors.newFixedThreadPool(THREADS)
        val found = (1L..SEEDS).map { seed -> pool.submit(Callable { violations(seed) }) }.flatMap { it.get() }
        pool.shutdown()
        expectThat(found).isEmpty()
    }

    /** Guards against a checker that misses a process moving to a lower revision. */
    @Test
    fun `the checker fails if processes accept lower revisions`() {
        val policy = RevisionPolicy { current, offered -> current != offered }
        expectThat(firstViolation<SettingsViolation.Reverted>(FleetConfig(policy = policy))).isNotNull()
    }

    /** Guards against a checker that misses a change that is lost when its relays fail. */
    @Test
    fun `the checker fails without digest exchange`() {
        val timing = DistributionTiming(digestInterval = Duration.INFINITE)
        expectThat(firstViolation<SettingsViolation.Late>(FleetConfig(timing = timing))).isNotNull()
    }

    /** Guards against a checker that misses a lost reply being treated as a failed write. */
    @Test
    fun `the checker fails if lost replies are not resolved`() {
        expectThat(firstViolation<SettingsViolation.Misreported>(FleetConfig(operatorStore = ::LossyStore))).isNotNull()
    }

    /** Hides the operation ids in the root record, and reports every lost reply as a call without effect. */
    private class LossyStore(private val store: KeyValueStore) : KeyValueStore by store {
        override suspend fun get(key: String): Result<VersionedValue?, KeyValueError> = store.get(key).map { value ->
            value?.takeIf { key == ROOT_KEY }?.let {
                val root = SettingsRoot.parseFrom(it.bytes).toBuilder().clearRecent().build()
                VersionedValue(it.version, root.toByteArray())
            } ?: value
        }

        override suspend fun compareAndSet(
            key: String,
            expected: Version?,
            value: ByteArray,
            operation: OperationId,
        ): Result<Version, KeyValueError> = store.compareAndSet(key, expected, value, operation)
            .mapError { if (it is KeyValueError.OutcomeUnknown) KeyValueError.Unavailable(it.detail) else it }
    }

    /** Guards against checks that never report a violation. */
    @Test
    fun `each kind of violation is detected`() {
        val accepted = listOf(
            SettingsEvent.Accepted(0, Revision(1), OperationId("a")),
            SettingsEvent.Accepted(100, Revision(2), OperationId("b")),
        )
        val start = listOf(SettingsEvent.Started(0, "p"), SettingsEvent.Activated(50, "p", Revision(1)))
        val activated = SettingsEvent.Activated(4_100, "p", Revision(2))
        val end = SettingsEvent.RecordingEnded(9_000)
        expectThat(checkSettingsHistory(accepted + start + activated + end)).isEmpty()
        expectThat(checkSettingsHistory(accepted + start + activated.copy(at = 4_101) + end))
            .single().isA<SettingsViolation.Late>()
        expectThat(
            checkSettingsHistory(accepted + start + activated + SettingsEvent.Activated(5_000, "p", Revision(1)) + end),
        )
            .single().isA<SettingsViolation.Reverted>()
        expectThat(checkSettingsHistory(accepted + start + activated + activated.copy(revision = Revision(3)) + end))
            .single().isA<SettingsViolation.NeverAccepted>()
        val acceptedTwice = accepted + SettingsEvent.Accepted(200, Revision(3), OperationId("b"))
        expectThat(checkSettingsHistory(acceptedTwice)).single().isA<SettingsViolation.AcceptedTwice>()
        val misreported = SettingsEvent.Reported(300, OperationId("b"), ReportedOutcome.Refused)
        expectThat(checkSettingsHistory(accepted + misreported)).single().isA<SettingsViolation.Misreported>()
    }

    /** Guards against counting disconnected time towards the propagation delay, and against ignoring connected time. */
    @Test
    fun `disconnected time does not count towards the delay`() {
        val events = listOf(
            SettingsEvent.Started(0, "p"),
            SettingsEvent.Accepted(100, Revision(1), OperationId("a")),
            SettingsEvent.Disconnected(3_000, "p"),
            SettingsEvent.Reconnected(20_000, "p"),
        )
        val activated = SettingsEvent.Activated(23_999, "p", Revision(1))
        expectThat(checkSettingsHistory(events + activated + SettingsEvent.RecordingEnded(30_000))).isEmpty()
        expectThat(checkSettingsHistory(events + SettingsEvent.RecordingEnded(23_000))).isEmpty()
        expectThat(checkSettingsHistory(events + SettingsEvent.RecordingEnded(24_000))).hasSize(1)
    }

    private companion object {
        /** Set SETTINGS_SEEDS for a longer run. */
        val SEEDS = System.getenv("SETTINGS_SEEDS")?.toLong() ?: 1_000L
        const val THREADS = 4
    }
}
