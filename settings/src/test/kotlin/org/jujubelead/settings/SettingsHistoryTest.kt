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
    private fun record(seed: Long, mechanism: Mechanism = Mechanism()): List<SettingsEvent> {
        var events = emptyList<SettingsEvent>()
        runTest(timeout = 1.minutes) { events = SimulatedFleet(this, seed, mechanism).run() }
        return events
    }

    private fun violations(seed: Long, mechanism: Mechanism = Mechanism()): List<Pair<Long, SettingsViolation>> =
        checkSettingsHistory(record(seed, mechanism)).map { seed to it }

    /** Runs seeds until one gives a violation of type [V]. */
    private inline fun <reified V : SettingsViolation> firstViolation(mechanism: Mechanism): SettingsViolation? =
        (1L..SEEDS).asSequence().flatMap { violations(it, mechanism) }.map { it.second }.firstOrNull { it is V }

    /**
     * P7 with up to three overlapping faults: outages, relays killed, zones cut off, silent connections and a slow
     * service, besides lost answers, late writes and two operators.
     */
    @Test
    fun `accepted revisions are in force within the bound and never revert`() {
        val pool = Executors.newFixedThreadPool(THREADS)
        val found = (1L..SEEDS).map { seed -> pool.submit(Callable { violations(seed) }) }.flatMap { it.get() }
        pool.shutdown()
        expectThat(found).isEmpty()
    }

    /** Guards against a checker that passes although a lower revision is taken over. */
    @Test
    fun `the checker fails when any offered revision is adopted`() {
        val rule = AdoptionRule { held, offered -> held != offered }
        expectThat(firstViolation<SettingsViolation.Reverted>(Mechanism(rule = rule))).isNotNull()
    }

    /** Guards against a checker that passes although a change is lost with its relays. */
    @Test
    fun `the checker fails without the exchange of digests`() {
        val times = DistributionTimes(digestInterval = Duration.INFINITE)
        expectThat(firstViolation<SettingsViolation.Late>(Mechanism(times = times))).isNotNull()
    }

    /** Guards against a checker that passes although a lost answer is taken for a write that did not happen. */
    @Test
    fun `the checker fails when lost answers are not resolved`() {
        expectThat(firstViolation<SettingsViolation.WrongReport>(Mechanism(operatorStore = ::BlindStore))).isNotNull()
    }

    /** Hides the operation ids in the root record, and reports every lost answer as a call without effect. */
    private class BlindStore(private val store: KeyValueStore) : KeyValueStore by store {
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

    /** Guards against rules of the checker that never apply. */
    @Test
    fun `each kind of violation is found in a short history`() {
        val accepted = listOf(
            SettingsEvent.Accepted(0, Revision(1), OperationId("a")),
            SettingsEvent.Accepted(100, Revision(2), OperationId("b")),
        )
        val start = listOf(SettingsEvent.Started(0, "p"), SettingsEvent.InForce(50, "p", Revision(1)))
        val applied = SettingsEvent.InForce(4_100, "p", Revision(2))
        val end = SettingsEvent.Ended(9_000)
        expectThat(checkSettingsHistory(accepted + start + applied + end)).isEmpty()
        expectThat(checkSettingsHistory(accepted + start + applied.copy(at = 4_101) + end))
            .single().isA<SettingsViolation.Late>()
        expectThat(
            checkSettingsHistory(accepted + start + applied + SettingsEvent.InForce(5_000, "p", Revision(1)) + end),
        )
            .single().isA<SettingsViolation.Reverted>()
        expectThat(checkSettingsHistory(accepted + start + applied + applied.copy(revision = Revision(3)) + end))
            .single().isA<SettingsViolation.NeverAccepted>()
        val twice = accepted + SettingsEvent.Accepted(200, Revision(3), OperationId("b"))
        expectThat(checkSettingsHistory(twice)).single().isA<SettingsViolation.AcceptedTwice>()
        val refused = SettingsEvent.Reported(300, OperationId("b"), ReportedOutcome.Refused)
        expectThat(checkSettingsHistory(accepted + refused)).single().isA<SettingsViolation.WrongReport>()
    }

    /** Guards against time without a path that counts, and against a long path whose time does not. */
    @Test
    fun `time without a path does not count`() {
        val events = listOf(
            SettingsEvent.Started(0, "p"),
            SettingsEvent.Accepted(100, Revision(1), OperationId("a")),
            SettingsEvent.PathLost(3_000, "p"),
            SettingsEvent.PathFound(20_000, "p"),
        )
        val applied = SettingsEvent.InForce(23_999, "p", Revision(1))
        expectThat(checkSettingsHistory(events + applied + SettingsEvent.Ended(30_000))).isEmpty()
        expectThat(checkSettingsHistory(events + SettingsEvent.Ended(23_000))).isEmpty()
        expectThat(checkSettingsHistory(events + SettingsEvent.Ended(24_000))).hasSize(1)
    }

    private companion object {
        /** SETTINGS_SEEDS gives a longer run. */
        val SEEDS = System.getenv("SETTINGS_SEEDS")?.toLong() ?: 1_000L
        const val THREADS = 4
    }
}
