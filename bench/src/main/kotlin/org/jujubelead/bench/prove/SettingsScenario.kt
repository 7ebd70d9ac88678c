/** Two operators change settings at once, while writes are lost, late or refused, and zones lose the platform. */
package org.jujubelead.bench.prove

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.jujubelead.core.ids.OperationId
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.settings.ApplyResult
import org.jujubelead.settings.SettingsEdit
import org.jujubelead.settings.SettingsSnapshot
import org.jujubelead.settings.SettingsStore
import org.jujubelead.settings.SettingsStoreError
import java.time.Instant
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

private const val EDITS = 4
private const val LARGEST_EDIT_GAP_MS = 500L
private const val OBSERVE_GAP_MS = 200L
private const val MARGIN_MS = 600L
private const val SMALLEST_VALUE = 3_600
private const val LARGEST_VALUE = 90_000
private const val SAME_FIELD_ONE_IN = 3
private const val REVISION_METRIC = "jujubelead_settings_revision "

/** Fields that operators change; none affects the requests of other runs. */
internal enum class EditedField(val set: (SettingsTree.Builder, Int) -> Unit, val get: (SettingsTree) -> Int) {
    DEFAULTS({ t, v -> t.defaultsBuilder.keyRetentionS = v }, { it.defaults.keyRetentionS }),
    SERVICE(
        { t, v ->
            val node = t.getServicesOrThrow("booking").toBuilder()
            node.overridesBuilder.keyRetentionS = v
            t.putServices("booking", node.build())
        },
        { it.getServicesOrThrow("booking").overrides.keyRetentionS },
    ),
    WORKSPACE(
        { t, v ->
            val node = t.getWorkspacesOrThrow("prove").toBuilder()
            node.overridesBuilder.keyRetentionS = v
            t.putWorkspaces("prove", node.build())
        },
        { it.getWorkspacesOrThrow("prove").overrides.keyRetentionS },
    ),
}

/** Proposes a change of the current settings, as an operator does. */
internal suspend fun editSettings(
    store: SettingsStore,
    author: String,
    base: SettingsSnapshot? = null,
    change: (SettingsTree.Builder) -> Unit,
): Result<ApplyResult, SettingsStoreError> {
    val from = base ?: store.read().get() ?: error("the settings cannot be read")
    val tree = from.tree.toBuilder().apply(change).build()
    val operation = OperationId(UUID.randomUUID().toString())
    return store.apply(SettingsEdit(operation, author, "prove", Instant.now(), from.revision, tree))
}

/** The scenario. */
internal class SettingsScenario : Scenario {
    override val promises = listOf(Promise.SETTINGS)

    private class Recorder {
        val accepted = ConcurrentLinkedQueue<AcceptedRecord>()
        val revisions = ConcurrentLinkedQueue<RevisionRecord>()
        val faults = ConcurrentLinkedQueue<FaultRecord>()
        val exemptions = ConcurrentLinkedQueue<Exemption>()

        /** Fields whose last value is not certain, as an edit ended without a known outcome. */
        val uncertain = ConcurrentLinkedQueue<EditedField>()

        fun fault(what: String) {
            faults += FaultRecord(System.currentTimeMillis(), what)
        }
    }

    override suspend fun run(context: RunContext, name: String, seed: Long): RunHistory {
        val fleet = context.fleet
        val random = Random(seed)
        val recorder = Recorder()
        withContext(Dispatchers.IO) {
            val observers = fleet.members.map { member -> launch { observe(member, recorder) } }
            coroutineScope {
                launch { disturb(fleet, random, recorder) }
                repeat(EDITS) {
                    race(fleet, random, recorder)
                    delay(random.nextLong(LARGEST_EDIT_GAP_MS))
                }
            }
            delay(SETTINGS_BOUND_MS + MARGIN_MS)
            observers.forEach { it.cancel() }
        }
        val tree = fleet.settings.read().get()?.tree ?: error("the settings cannot be read")
        val certain = recorder.accepted.filter { record -> recorder.uncertain.none { it.name == record.field } }
        return RunHistory(
            seed = seed,
            faults = recorder.faults.toList(),
            revisions = recorder.revisions.toList(),
            accepted = certain,
            finalValues = EditedField.entries.associate { it.name to "${it.get(tree)}" },
            exemptions = recorder.exemptions.toList(),
        )
    }

    private suspend fun race(fleet: Fleet, random: Random, recorder: Recorder): Unit = coroutineScope {
        val base = fleet.settings.read().getOrElse { return@coroutineScope recorder.fault("read failed: $it") }
        val fields = EditedField.entries.shuffled(random).take(2)
        val second = if (random.nextInt(SAME_FIELD_ONE_IN) == 0) fields[0] else fields[1]
        recorder.fault("two operators change ${fields[0]} and $second")
        listOf("anna" to fields[0], "boris" to second).forEach { (operator, field) ->
            val value = random.nextInt(SMALLEST_VALUE, LARGEST_VALUE)
            launch { edit(fleet, recorder, operator, base, field, value) }
        }
    }

    private suspend fun edit(
        fleet: Fleet,
        recorder: Recorder,
        operator: String,
        base: SettingsSnapshot?,
        field: EditedField,
        value: Int,
    ) {
        editSettings(fleet.settings, operator, base) { field.set(it, value) }.onFailure {
            if (it is SettingsStoreError.OutcomeUnknown) recorder.uncertain += field
            recorder.fault("$operator: change of $field to $value ended with $it")
        }.fold(
            success = {
                if (it.changed) {
                    recorder.accepted +=
                        AcceptedRecord(it.revision.value, System.currentTimeMillis(), field.name, "$value")
                }
            },
            failure = {},
        )
    }

    /** Exemptions end when the fault does: from then on the bound holds again. */
    private suspend fun disturb(fleet: Fleet, random: Random, recorder: Recorder) {
        val kinds = listOf(
            FaultKind.LOST_WRITES,
            FaultKind.PLATFORM_OUTAGE,
            FaultKind.ZONE_CUT_FROM_PLATFORM,
            FaultKind.LIST_FROZEN,
            FaultKind.RELAY_CUT,
        )
        val kind = kinds.random(random)
        val start = System.currentTimeMillis()
        FaultInjector(fleet, random) { recorder.fault(it) }.inject(kind)
        val cut = kind == FaultKind.PLATFORM_OUTAGE || kind == FaultKind.ZONE_CUT_FROM_PLATFORM
        if (cut) recorder.exemptions += Exemption("*", start, System.currentTimeMillis())
    }

    private suspend fun observe(member: Member, recorder: Recorder): Unit = coroutineScope {
        while (isActive) {
            val asked = System.currentTimeMillis()
            val answer = Http.get("http://127.0.0.1:${member.httpPort}/metrics")
            val revision = answer.body.lineSequence().firstOrNull { it.startsWith(REVISION_METRIC) }
                ?.removePrefix(REVISION_METRIC)?.toDouble()?.toLong()
            if (revision != null) {
                recorder.revisions += RevisionRecord(member.instance, member.process.pid, asked, revision)
            }
            delay(OBSERVE_GAP_MS)
        }
    }
}
