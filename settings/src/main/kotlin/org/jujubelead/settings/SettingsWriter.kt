/** One proposed change on its way to acceptance: merge, validation, writes, and the outcome of lost answers. */
package org.jujubelead.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.protocol.AcceptedOperation
import org.jujubelead.protocol.BranchRef
import org.jujubelead.protocol.SettingsRoot
import org.jujubelead.protocol.SettingsTree
import kotlin.random.Random

/** Brings one edit to acceptance. */
internal class SettingsWriter(
    private val kv: KeyValueStore,
    private val store: SettingsStore,
    private val random: Random,
    private val edit: SettingsEdit,
) {
    private sealed interface Outcome {
        data class Accepted(val revision: Revision) : Outcome

        data class Unchanged(val revision: Revision) : Outcome

        /** Someone else's change was accepted first. */
        data object Superseded : Outcome

        data class Failed(val error: SettingsStoreError) : Outcome
    }

    suspend fun run(attempts: Int): Result<ApplyResult, SettingsStoreError> = resultOf {
        val backoff = Backoff(random)
        repeat(attempts) {
            val stored = store.readRoot().bind()
            stored?.root?.let { accepted(it).bind() }?.let { return@resultOf ApplyResult(it) }
            val tree = merged(stored?.root).bind()
            when (val outcome = accept(stored, tree)) {
                is Outcome.Accepted -> return@resultOf ApplyResult(outcome.revision)
                is Outcome.Unchanged -> return@resultOf ApplyResult(outcome.revision, changed = false)
                is Outcome.Failed -> Err(outcome.error).bind()
                Outcome.Superseded -> delay(backoff.next())
            }
        }
        raise(SettingsStoreError.Contended)
    }

    /** The edit on top of the [current] revision, whose branches are read only when the edit has another base. */
    private suspend fun merged(current: SettingsRoot?): Result<SettingsTree, SettingsStoreError> = resultOf {
        val tree = if (current == null || edit.base?.value == current.revision) {
            edit.tree
        } else {
            val base = edit.base?.let { store.read(it).bind().tree } ?: SettingsTree.getDefaultInstance()
            merge(base = base, accepted = store.readTree(current).bind().tree, proposed = edit.tree)
                .mapError { SettingsStoreError.Conflict(current = Revision(current.revision), fields = it) }.bind()
        }
        val faults = SettingsValidator.validate(tree)
        if (faults.isNotEmpty()) raise(SettingsStoreError.Invalid(faults))
        tree
    }

    private suspend fun accept(stored: StoredRoot?, tree: SettingsTree): Outcome {
        val revision = (stored?.root?.revision ?: 0L) + 1
        val refs = writeBranches(stored?.root, tree, revision).getOrElse { return Outcome.Failed(it) }
        if (stored != null) {
            if (refs == stored.root.branchesMap) return Outcome.Unchanged(Revision(stored.root.revision))
            create(historyKey(stored.root.revision), stored.root.canonicalBytes()).getOrElse {
                return Outcome.Failed(it)
            }
        }
        val root = SettingsRoot.newBuilder().setRevision(revision).putAllBranches(refs).addRecent(entry(revision))
            .addAllRecent(stored?.root?.recentList.orEmpty().take(RECENT_OPERATIONS - 1)).build()
        return swapRoot(stored?.version, root)
    }

    /**
     * Writes the root. After a lost answer the same write is repeated until the root has changed: as long as it has not
     * the lost write can still take effect, and only one write can succeed at this version.
     */
    private suspend fun swapRoot(expected: Version?, root: SettingsRoot): Outcome {
        val bytes = root.canonicalBytes()
        val backoff = Backoff(random)
        var uncertain = false
        repeat(MAX_CALLS) {
            val result = retryCalls(random) { kv.compareAndSet(ROOT_KEY, expected, bytes, edit.operation) }
            val error = result.getError() ?: return Outcome.Accepted(Revision(root.revision))
            if (error is KeyValueError.OutcomeUnknown) uncertain = true
            if (!uncertain) {
                val failure = SettingsStoreError.Unavailable(error.describe())
                return if (error.hadNoEffect()) Outcome.Failed(failure) else Outcome.Superseded
            }
            delay(backoff.next())
            val current = store.readRoot().getOrElse { return unknown() }
            if (current?.version != expected) return afterLostAnswer(checkNotNull(current).root)
        }
        return unknown()
    }

    private fun unknown() = Outcome.Failed(SettingsStoreError.OutcomeUnknown(edit.operation))

    private suspend fun afterLostAnswer(root: SettingsRoot): Outcome = accepted(root).fold(
        { revision -> revision?.let { Outcome.Accepted(it) } ?: Outcome.Superseded },
        { unknown() },
    )

    /** Finds the revision of this edit's operation, in [newest] or in records back to the edit's base. */
    private suspend fun accepted(newest: SettingsRoot): Result<Revision?, SettingsStoreError> = resultOf {
        val base = edit.base?.value ?: 0L
        var root = newest
        var found = find(root)
        var older = oldestListed(root) - 1
        while (found == null && older > base) {
            root = store.rootOf(Revision(older)).bind()
            found = find(root)
            older = oldestListed(root) - 1
        }
        found
    }

    private fun oldestListed(root: SettingsRoot): Long = root.recentList.lastOrNull()?.revision ?: 0L

    private fun find(root: SettingsRoot): Revision? =
        root.recentList.firstOrNull { it.operationId == edit.operation.value }?.let { Revision(it.revision) }

    private fun entry(revision: Long): AcceptedOperation = AcceptedOperation.newBuilder()
        .setOperationId(edit.operation.value).setRevision(revision).setAuthor(edit.author).setSummary(edit.summary)
        .setAcceptedAt(edit.at.toString()).build()

    private suspend fun writeBranches(
        before: SettingsRoot?,
        tree: SettingsTree,
        revision: Long,
    ): Result<Map<String, BranchRef>, SettingsStoreError> = resultOf {
        branchesOf(tree).mapValues { (name, branch) ->
            val bytes = branch.canonicalBytes()
            val hash = sha256(bytes)
            val old = before?.branchesMap?.get(name)
            if (old?.sha256 == hash) return@mapValues old
            if (bytes.size > KeyValueStore.MAX_VALUE_BYTES) raise(SettingsStoreError.BranchTooLarge(name, bytes.size))
            val ref = BranchRef.newBuilder().setSha256(hash).setRevision(revision).build()
            create(BRANCH_PREFIX + ref.id, bytes).bind()
            ref
        }
    }

    /** Writes a key whose content its name determines, so that an existing key has the same content. */
    private suspend fun create(key: String, bytes: ByteArray): Result<Unit, SettingsStoreError> =
        retryRepeatable(random) { kv.compareAndSet(key, expected = null, value = bytes, operation = edit.operation) }
            .fold(
                { Ok(Unit) },
                { if (it is KeyValueError.Conflict) Ok(Unit) else Err(SettingsStoreError.Unavailable(it.describe())) },
            )
}
