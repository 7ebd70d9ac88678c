/**
 * Settings in the key-value service. The compare-and-swap of the root record is the only acceptance point.
 *
 * Before it, the changed branches and the root record of the previous revision are written under new keys. Every write
 * of a branch has a key of its own (its hash and revision), so that a branch that a later revision has replaced is not
 * used again and can be deleted with the oldest kept revision.
 */
package org.jujubelead.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue
import org.jujubelead.protocol.AcceptedOperation
import org.jujubelead.protocol.BranchRef
import org.jujubelead.protocol.SettingsRoot
import org.jujubelead.protocol.SettingsTree
import java.time.Instant
import kotlin.random.Random

/** The root record as it is stored. */
public class StoredRoot(public val version: Version, public val root: SettingsRoot)

/**
 * A change that an operator proposes.
 *
 * @property base revision that the operator edited; null when there were no settings.
 * @property at time of the change, for the history only.
 */
public class SettingsEdit(
    public val operation: OperationId,
    public val author: String,
    public val summary: String,
    public val at: Instant,
    public val base: Revision?,
    public val tree: SettingsTree,
)

/** An accepted change. [changed] is false when the tree was the accepted one already and nothing was written. */
public data class ApplyResult(val revision: Revision, val changed: Boolean = true)

/** Accepted changes listed in the root record, which every relay reads. Older ones are found in the history. */
public const val RECENT_OPERATIONS: Int = 8

/** Revisions kept by default. One takes some 20 KB at full size, so that all take 20 MB. */
public const val DEFAULT_HISTORY: Int = 1_000

/** Deletes of one change beyond which pruning is left to the next change. */
private const val PRUNED_PER_CHANGE = 3

/**
 * Branches read at the same time. One after the other, a service that takes 400 ms for an answer used up the 4 s of a
 * change of ten branches.
 */
private const val PARALLEL_READS = 16

/** Attempts to get a change accepted while others are accepted first. */
private const val MAX_ATTEMPTS = 12

/** The store. [kept] is the number of revisions kept for history and rollback. */
public class SettingsStore(
    private val kv: KeyValueStore,
    private val random: Random = Random.Default,
    private val kept: Int = DEFAULT_HISTORY,
) {
    /** Reads the root record; null before the first settings. */
    public suspend fun readRoot(): Result<StoredRoot?, SettingsStoreError> =
        resultOf { readOnce(ROOT_KEY).bind()?.let { StoredRoot(it.version, parseRoot(ROOT_KEY, it).bind()) } }

    /** Reads branches, and checks them against their hashes. */
    public suspend fun readBranches(
        refs: Collection<BranchRef>,
    ): Result<Map<BranchRef, SettingsTree>, SettingsStoreError> = resultOf {
        refs.chunked(PARALLEL_READS).flatMap { some ->
            val read = coroutineScope { some.map { async { readBranch(it) } }.awaitAll() }
            some.zip(read.map { it.bind() })
        }.toMap()
    }

    private suspend fun readBranch(ref: BranchRef): Result<SettingsTree, SettingsStoreError> = resultOf {
        val bytes = readOnce(BRANCH_PREFIX + ref.id).bind()?.bytes
            ?: raise(SettingsStoreError.Corrupt("branch ${ref.id} does not exist"))
        if (sha256(bytes) != ref.sha256) raise(SettingsStoreError.Corrupt("branch ${ref.id} has another hash"))
        decode(BRANCH_PREFIX + ref.id) { SettingsTree.parseFrom(bytes) }.bind()
    }

    /** Reads the accepted settings; null before the first ones. */
    public suspend fun read(): Result<SettingsSnapshot?, SettingsStoreError> = resultOf {
        readRoot().bind()?.let { readTree(it.root).bind() }
    }

    /** Reads an earlier revision. */
    public suspend fun read(revision: Revision): Result<SettingsSnapshot, SettingsStoreError> = resultOf {
        readTree(rootOf(revision).bind()).bind()
    }

    /** Lists accepted changes, the newest first, at most [limit]. */
    public suspend fun history(limit: Int): Result<List<AcceptedOperation>, SettingsStoreError> = resultOf {
        val all = ArrayList<AcceptedOperation>()
        var root = readRoot().bind()?.root
        while (root != null && all.size < limit) {
            all += root.recentList
            val older = (root.recentList.lastOrNull()?.revision ?: 1L) - 1
            root = if (older < 1) null else rootOf(Revision(older)).get()
        }
        all.take(limit)
    }

    /**
     * Proposes a change. It is merged with changes accepted since its base. Repeating a call with the same operation id
     * never applies the change twice.
     */
    public suspend fun apply(edit: SettingsEdit): Result<ApplyResult, SettingsStoreError> =
        SettingsWriter(kv = kv, store = this, random = random, edit = edit).run(MAX_ATTEMPTS).also { result ->
            result.get()?.takeIf { it.changed }?.let { prune(it.revision) }
        }

    /** Puts the tree of [revision] in force again, as a new revision. */
    public suspend fun rollback(
        revision: Revision,
        operation: OperationId,
        author: String,
        at: Instant,
    ): Result<ApplyResult, SettingsStoreError> = resultOf {
        val old = read(revision).bind()
        val edit = SettingsEdit(
            operation = operation,
            author = author,
            summary = "rollback to revision $revision",
            at = at,
            base = readRoot().bind()?.let { Revision(it.root.revision) },
            tree = old.tree,
        )
        apply(edit).bind()
    }

    internal suspend fun readTree(root: SettingsRoot): Result<SettingsSnapshot, SettingsStoreError> =
        readBranches(root.branchesMap.values).map { SettingsSnapshot(Revision(root.revision), joinBranches(it.values)) }

    /** Returns the root record of an accepted revision. */
    internal suspend fun rootOf(revision: Revision): Result<SettingsRoot, SettingsStoreError> = resultOf {
        val current = readRoot().bind()?.root
        when {
            current?.revision == revision.value -> current

            else -> {
                val key = historyKey(revision.value)
                val value = readOnce(key).bind() ?: raise(SettingsStoreError.UnknownRevision(revision))
                parseRoot(key, value).bind()
            }
        }
    }

    private suspend fun readOnce(key: String): Result<VersionedValue?, SettingsStoreError> =
        retryRepeatable(random) { kv.get(key) }.mapError { SettingsStoreError.Unavailable(it.describe()) }

    private fun parseRoot(key: String, value: VersionedValue): Result<SettingsRoot, SettingsStoreError> =
        decode(key) { SettingsRoot.parseFrom(value.bytes) }

    private inline fun <T> decode(key: String, parse: () -> T): Result<T, SettingsStoreError> = try {
        Ok(parse())
    } catch (e: InvalidProtocolBufferException) {
        Err(SettingsStoreError.Corrupt("$key: ${e.message}"))
    }

    /**
     * Deletes revisions beyond those kept. A failure leaves them to the next change: the record of a revision is
     * deleted after its branches.
     */
    private suspend fun prune(accepted: Revision) {
        val oldest = accepted.value - kept
        if (oldest < 1) return
        resultOf {
            val keys = kv.list(HISTORY_PREFIX).mapError(::unavailable).bind()
            keys.filter { it <= historyKey(oldest) }.take(PRUNED_PER_CHANGE).forEach { key ->
                val value = kv.get(key).mapError(::unavailable).bind() ?: return@forEach
                val root = parseRoot(key, value).bind()
                val next = rootOf(Revision(root.revision + 1)).bind()
                val dead = root.branchesMap.values.toSet() - next.branchesMap.values.toSet()
                dead.forEach { ref -> kv.delete(BRANCH_PREFIX + ref.id).mapError(::unavailable).bind() }
                kv.delete(key).mapError(::unavailable).bind()
            }
        }
    }
}

private fun unavailable(error: KeyValueError): SettingsStoreError = SettingsStoreError.Unavailable(error.describe())
