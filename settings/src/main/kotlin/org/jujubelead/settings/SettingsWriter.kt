/** Applies one change: merges, validates and writes it, and determines the outcome when a reply was lost. */
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

internal class SettingsWriter(
    private val kv: KeyValueStore,
    private val store: SettingsStore,
    private val random: Random,
    private val edit: SettingsEdit,
) {
    private sealed interface Outcome {
        data class Accepted(val revision: Revision) : Outcome

        data class Unchanged(val revision: Revision) : Outcome

        /** A concurrent change was accepted first. */
        data object Superseded : Outcome

        data class Failed(val error: SettingsStoreError) : Outcome
    }

    suspend fun run(maxAttempts: Int): Result<ApplyResult, SettingsStoreError> = resultOf {
        val backoff = Backoff(random)
        repeat(maxAttempts) {
            val stored = store.readRoot().bind()
            stored?.root?.let { findAccepted(it).bind() }?.let { return@resultOf ApplyResult(it) }
            val tree = mergeWith(stored?.root).bind()
            when (val outcome = write(stored, tree)) {
                is Outcome.Accepted -> return@resultOf ApplyResult(outcome.revision)
                is Outcome.Unchanged -> return@resultOf ApplyResult(outcome.revision, changed = false)
                is Outcome.Failed -> Err(outcome.error).bind()
                Outcome.Superseded -> delay(backoff.next())
            }
        }
        raise(SettingsStoreError.Contended)
    }

    /** Merges the edit with the [current] revision, whose branches are read only if the edit has a different base. */
    private suspend fun mergeWith(current: SettingsRoot?): Result<SettingsTree, SettingsStoreError> = resultOf {
        val tree = if (current == null || edit.base?.value == current.revision) {
            edit.tree
        } else {
            val base = edit.base?.let { store.read(it).bind().tree } ?: SettingsTree.getDefaultInstance()
            merge(base = base, accepted = store.readTree(current).bind().tree, proposed = edit.tree)
                .mapError { SettingsStoreError.Conflict(current = Revision(current.revision), fields = it) }.bind()
        }
        val errors = SettingsValidator.validate(tree)
        if (errors.isNotEmpty()) raise(SettingsStoreError.Invalid(errors))
        tree
    }

    private suspend fun write(stored: StoredRoot?, tree: SettingsTree): Outcome {
        val revision = (stored?.root?.revision ?: 0L) + 1
        val refs = writeBranches(stored?.root, tree, revision).getOrElse { return Outcome.Failed(it) }
        if (stored != null) {
            if (refs == stored.root.branchesMap) return Outcome.Unchanged(Revision(stored.root.revision))
            create(historyKey(stored.root.revision), stored.root.canonicalBytes()).getOrElse {
                return Outcome.Failed(it)
            }
        }
        val root = SettingsRoot.newBuilder()
            .setRevision(revision)
            .putAllBranches(refs)
            .addRecent(operationEntry(revision))
            .addAllRecent(stored?.root?.recentList.orEmpty().take(MAX_RECENT_OPERATIONS - 1)).build()
        return compareAndSwapRoot(stored?.version, root)
    }

    /**
     * Writes the root record. If a reply is lost, the write is repeated until the root record has changed. Until then
     * the first write can still take effect, but only one write can succeed at the expected version.
     */
    private suspend fun compareAndSwapRoot(expected: Version?, root: SettingsRoot): Outcome {
        val bytes = root.canonicalBytes()
        val backoff = Backoff(random)
        var uncertain = false
        repeat(MAX_CALL_ATTEMPTS) {
            val result = retryIfNoEffect(random) { kv.compareAndSet(ROOT_KEY, expected, bytes, edit.operation) }
            val error = result.getError() ?: return Outcome.Accepted(Revision(root.revision))
            if (error is KeyValueError.OutcomeUnknown) uncertain = true
            if (!uncertain) {
                val failure = SettingsStoreError.Unavailable(error.describe())
                return if (error.hadNoEffect()) Outcome.Failed(failure) else Outcome.Superseded
            }
            delay(backoff.next())
            val current = store.readRoot().getOrElse { return outcomeUnknown() }
            if (current?.version != expected) return outcomeAfterLostReply(checkNotNull(current).root)
        }
        return outcomeUnknown()
    }

    private fun outcomeUnknown() = Outcome.Failed(SettingsStoreError.OutcomeUnknown(edit.operation))

    private suspend fun outcomeAfterLostReply(root: SettingsRoot): Outcome = findAccepted(root).fold(
        { revision -> revision?.let { Outcome.Accepted(it) } ?: Outcome.Superseded },
        { outcomeUnknown() },
    )

    /** Finds the revision that accepted this edit, in [newest] or in earlier records back to the edit's base. */
    private suspend fun findAccepted(newest: SettingsRoot): Result<Revision?, SettingsStoreError> = resultOf {
        val base = edit.base?.value ?: 0L
        var root = newest
        var found = findIn(root)
        var older = oldestListedRevision(root) - 1
        while (found == null && older > base) {
            root = store.readRootOf(Revision(older)).bind()
            found = findIn(root)
            older = oldestListedRevision(root) - 1
        }
        found
    }

    private fun oldestListedRevision(root: SettingsRoot): Long = root.recentList.lastOrNull()?.revision ?: 0L

    private fun findIn(root: SettingsRoot): Revision? =
        root.recentList.firstOrNull { it.operationId == edit.operation.value }?.let { Revision(it.revision) }

    private fun operationEntry(revision: Long): AcceptedOperation = AcceptedOperation.newBuilder()
        .setOperationId(edit.operation.value).setRevision(revision).setAuthor(edit.author).setSummary(edit.summary)
        .setAcceptedAt(edit.at.toString()).build()

    private suspend fun writeBranches(
        previous: SettingsRoot?,
        tree: SettingsTree,
        revision: Long,
    ): Result<Map<String, BranchRef>, SettingsStoreError> = resultOf {
        branchesOf(tree).mapValues { (name, branch) ->
            val bytes = branch.canonicalBytes()
            val hash = sha256(bytes)
            val old = previous?.branchesMap?.get(name)
            if (old?.sha256 == hash) return@mapValues old
            if (bytes.size > KeyValueStore.MAX_VALUE_BYTES) raise(SettingsStoreError.BranchTooLarge(name, bytes.size))
            val ref = BranchRef.newBuilder().setSha256(hash).setRevision(revision).build()
            create(BRANCH_PREFIX + ref.id, bytes).bind()
            ref
        }
    }

    /** Creates a key whose name determines its content, so that an existing key already has the same content. */
    private suspend fun create(key: String, bytes: ByteArray): Result<Unit, SettingsStoreError> =
        retryIdempotent(random) { kv.compareAndSet(key, expected = null, value = bytes, operation = edit.operation) }
            .fold(
                { Ok(Unit) },
                { if (it is KeyValueError.Conflict) Ok(Unit) else Err(SettingsStoreError.Unavailable(it.describe())) },
            )
}
