package org.jujubelead.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueFaults
import org.jujubelead.standins.KeyValueService
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class SettingsStoreTest {
    private val service = KeyValueService()

    private fun TestScope.store(faults: KeyValueFaults = KeyValueFaults(), maxRevisions: Int = 100) = SettingsStore(
        kv = InMemoryKeyValueStore(service, nowMillis = { currentTime }, faults = faults) { wait, action ->
            backgroundScope.launch {
                delay(wait)
                action()
            }
        },
        random = Random(7),
        maxRevisions = maxRevisions,
    )

    private fun edited(path: String, value: Any) =
        unflatten(flatten(tree()) + (SettingsPath(path) to FieldValue.Scalar(value)))

    /** Guards against stored settings that differ from the accepted ones. */
    @Test
    fun `accepted settings are read back`() = runTest {
        expectThat(store().read().get()).isNull()
        expectThat(store().apply(edit("a", null, tree())).get()).isEqualTo(ApplyResult(Revision(1)))
        expectThat(store().read().get()?.tree).isEqualTo(tree())
    }

    /** Guards against an edit that reverts a concurrent one, and against conflicts between different fields. */
    @Test
    fun `edits of different fields are merged and edits of one field conflict`() = runTest {
        store().apply(edit("a", null, tree()))
        store().apply(edit("b", 1, edited("workspaces/acme/share", 3.0)))
        store().apply(edit("c", 1, edited("workspaces/acme/priority", 5)))
        val acme = store().read().get()?.tree?.getWorkspacesOrThrow("acme")?.overrides
        expectThat(acme?.share to acme?.priority).isEqualTo(3.0 to 5)

        val error = store().apply(edit("d", 1, edited("workspaces/acme/share", 4.0))).getError()
        expectThat(error).isA<SettingsStoreError.Conflict>().get { fields.map { it.toString() } }
            .containsExactly("workspaces/acme/share: accepted 3.0, yours 4.0, before 2.5")
    }

    /** Guards against accepting an invalid merge of two valid edits. */
    @Test
    fun `an invalid merge is rejected`() = runTest {
        store().apply(edit("a", null, tree()))
        store().apply(edit("b", 1, edited("services/lookup/path_prefix", "/shared")))
        val error = store().apply(edit("c", 1, edited("services/booking/path_prefix", "/shared/x"))).getError()
        expectThat(error).isA<SettingsStoreError.Invalid>()
    }

    /** Guards against a lost reply being reported as a conflict, and against accepting a change twice. */
    @Test
    fun `a lost reply is resolved by the operation id`() = runTest {
        val faults = KeyValueFaults(lostAnswers = 0.5)
        val accepted = (1..20L).map { n ->
            val base = (n - 1).takeIf { it > 0 }
            store(faults).apply(edit("op-$n", base, edited("defaults/priority", n.toInt()))).get()?.revision
        }
        expectThat(accepted).isEqualTo((1..20L).map(::Revision))
        expectThat(store().history(100).get()?.map { it.operationId }).isEqualTo((20 downTo 1).map { "op-$it" })
    }

    /** Guards against repeating a write that takes effect after it was reported as failed. */
    @Test
    fun `a delayed write is accepted once`() = runTest {
        val faults = KeyValueFaults(lateWrites = 0.5, lateWriteDelay = 700.milliseconds)
        val accepted = (1..20L).map { n ->
            val base = (n - 1).takeIf { it > 0 }
            store(faults).apply(edit("op-$n", base, edited("defaults/priority", n.toInt()))).get()?.revision
        }
        expectThat(accepted).isEqualTo((1..20L).map(::Revision))
        testScheduler.advanceTimeBy(60_000)
        expectThat(store().readRoot().get()?.root?.revision).isEqualTo(20)
    }

    /** Guards against applying a repeated edit twice. */
    @Test
    fun `a repeated operation is applied once`() = runTest {
        store().apply(edit("a", null, tree()))
        val change = edit("b", 1, edited("defaults/priority", 9))
        expectThat(store().apply(change).get()?.revision).isEqualTo(Revision(2))
        (1..30).forEach { n -> store().apply(edit("c$n", 1L + n, edited("defaults/priority", 10 + n))) }
        expectThat(store().apply(change).get()?.revision).isEqualTo(Revision(2))
    }

    /** Guards against a rollback that reuses a revision number, and against unbounded history. */
    @Test
    fun `a rollback is a new revision and old revisions are pruned`() = runTest {
        (1..40L).forEach { n ->
            store(maxRevisions = 10).apply(
                edit(
                    "e$n",
                    (n - 1).takeIf {
                        it > 0
                    },
                    edited("workspaces/acme/priority", n.toInt()),
                ),
            )
        }
        expectThat(service.keys(BRANCH_PREFIX).size).isLessThan(20)
        val back = store(maxRevisions = 10).rollback(Revision(35), OperationId("back"), "operator", Instant.EPOCH)
        expectThat(back.get()?.revision).isEqualTo(Revision(41))
        expectThat(store().read().get()?.tree?.getWorkspacesOrThrow("acme")?.overrides?.priority).isEqualTo(35)
        expectThat(store().read(Revision(5)).getError())
            .isEqualTo(SettingsStoreError.UnknownRevision(Revision(5)))
        expectThat(store().read(Revision(36)).isErr).isFalse()
    }

    /** Guards against an outage being reported as an unknown or successful outcome. */
    @Test
    fun `an outage changes nothing`() = runTest {
        val error = store(KeyValueFaults(reachable = false)).apply(edit("a", null, tree())).getError()
        expectThat(error).isA<SettingsStoreError.Unavailable>()
    }
}
