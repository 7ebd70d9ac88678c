/**
 * Stores settings in the key-value service. A revision is accepted by a compare-and-swap of the root record.
 *
 * The changed branches and the root record of the previous revision are written to new keys before the swap. The key of
 * a branch contains its hash and revision. A branch that a later revision has replaced is therefore never reused, and
 * can be deleted with the oldest retained revision.
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

/** The root record and its version in the key-value service. */
public class StoredRoot(public val version: Version, public val root: SettingsRoot)

/**
 * A change proposed by an operator.
 *
 * @property base revision that the edit is based on; null if there were no settings.
 * @property at time of the change; only recorded in the history.
 */
public class SettingsEdit(
    public val operation: OperationId,
    public val author: String,
    public val summary: String,
    public val at: Instant,
    public val base: Revision?,
    public val tree: SettingsTree,
)

/** The result of a change. If [changed] is false, the tree equals the accepted one and nothing was written. */
public data class ApplyResult(val revision: Revision, val changed: Boolean = true)

/**
 * Maximum number of accepted changes in the root record, kept small because every relay reads it. Earlier changes are
 * in the history.
 */
public const val MAX_RECENT_OPERATIONS: Int = 8

/** Default number of retained revisions. At maximum fleet size, one takes about 20 KB and all take 20 MB. */
public const val DEFAULT_MAX_REVISIONS: Int = 1_000

/** Maximum number of revisions deleted per change; the next change deletes the others. */
private const val MAX_PRUNED_PER_CHANGE = 3

/**
 * Maximum number of concurrent branch reads. Sequential reads of ten branches exceeded the 4 s propagation limit when
 * the key-value service took 400 ms per reply.
 */
private const val MAX_PARALLEL_READS = 16

/** Maximum number of attempts to apply a change while concurrent changes are accepted first. */
private const val MAX_APPLY_ATTEMPTS = 12

/** The settings store. [maxRevisions] is the number of revisions retained for history and rollback. */
public class SettingsStore(
    private val kv: KeyValueStore,
    private val random: Random = Random.Default,
    private val maxRevisions: Int = DEFAULT_MAX_REVISIONS,
) {
    /** Reads the root record; null if no settings have been accepted yet. */
    public suspend fun readRoot(): Result<StoredRoot?, SettingsStoreError> =
        resultOf { readKey(ROOT_KEY).bind()?.let { StoredRoot(it.version, parseRoot(ROOT_KEY, it).bind()) } }

    /** Reads branches and verifies their hashes. */
    public suspend fun readBranches(
        refs: Collection<BranchRef>,
    ): Result<Map<BranchRef, SettingsTree>, SettingsStoreError> = resultOf {
        refs.chunked(MAX_PARALLEL_READS).flatMap { chunk ->
            val read = coroutineScope { chunk.map { async { readBranch(it) } }.awaitAll() }
            chunk.zip(read.map { it.bind() })
        }.toMap()
    }

    private suspend fun readBranch(ref: BranchRef): Result<SettingsTree, SettingsStoreError> = resultOf {
        val bytes = readKey(BRANCH_PREFIX + ref.id).bind()?.bytes
            ?: raise(SettingsStoreError.Corrupt("branch ${ref.id} does not exist"))
        if (sha256(bytes) != ref.sha256) raise(SettingsStoreError.Corrupt("branch ${ref.id} does not match its hash"))
        decode(BRANCH_PREFIX + ref.id) { SettingsTree.parseFrom(bytes) }.bind()
    }

    /** Reads the latest accepted revision; null if no settings have been accepted yet. */
    public suspend fun read(): Result<SettingsSnapshot?, SettingsStoreError> = resultOf {
        readRoot().bind()?.let { readTree(it.root).bind() }
    }

    /** Reads [revision]. */
    public suspend fun read(revision: Revision): Result<SettingsSnapshot, SettingsStoreError> = resultOf {
        readTree(readRootOf(revision).bind()).bind()
    }

    /** Lists up to [limit] accepted changes, newest first. */
    public suspend fun history(limit: Int): Result<List<AcceptedOperation>, SettingsStoreError> = resultOf {
        val all = ArrayList<AcceptedOperation>()
        var root = readRoot().bind()?.root
        while (root != null && all.size < limit) {
            all += root.recentList
            val older = (root.recentList.lastOrNull()?.revision ?: 1L) - 1
            root = if (older < 1) null else readRootOf(Revision(older)).get()
        }
        all.take(limit)
    }

    /**
     * Applies a change after merging it with the changes accepted since its base. The call is idempotent: a change is
     * applied at most once per operation id.
     */
    public suspend fun apply(edit: SettingsEdit): Result<ApplyResult, SettingsStoreError> =
        SettingsWriter(kv = kv, store = this, random = random, edit = edit).run(MAX_APPLY_ATTEMPTS).also { result ->
            result.get()?.takeIf { it.changed }?.let { prune(it.revision) }
        }

    /** Applies the tree of [revision] as a new revision. */
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

    /** Reads the root record of a retained revision. */
    internal suspend fun readRootOf(revision: Revision): Result<SettingsRoot, SettingsStoreError> = resultOf {
        val current = readRoot().bind()?.root
        when {
            current?.revision == revision.value -> current

            else -> {
                val key = historyKey(revision.value)
                val value = readKey(key).bind() ?: raise(SettingsStoreError.UnknownRevision(revision))
                parseRoot(key, value).bind()
            }
        }
    }

    private suspend fun readKey(key: String): Result<VersionedValue?, SettingsStoreError> =
        retryIdempotent(random) { kv.get(key) }.mapError { SettingsStoreError.Unavailable(it.describe()) }

    private fun parseRoot(key: String, value: VersionedValue): Result<SettingsRoot, SettingsStoreError> =
        decode(key) { SettingsRoot.parseFrom(value.bytes) }

    private inline fun <T> decode(key: String, parse: () -> T): Result<T, SettingsStoreError> = try {
        Ok(parse())
    } catch (e: InvalidProtocolBufferException) {
        Err(SettingsStoreError.Corrupt("$key: ${e.message}"))
    }

    /**
     * Deletes revisions that are no longer retained. After a failure the next change tries again, because the record of
     * a revision is deleted only after its branches.
     */
    private suspend fun prune(accepted: Revision) {
        val newestPruned = accepted.value - maxRevisions
        if (newestPruned < 1) return
        resultOf {
            val keys = kv.list(HISTORY_PREFIX).mapError(::unavailable).bind()
            keys.filter { it <= historyKey(newestPruned) }.take(MAX_PRUNED_PER_CHANGE).forEach { key ->
                val value = kv.get(key).mapError(::unavailable).bind() ?: return@forEach
                val root = parseRoot(key, value).bind()
                val next = readRootOf(Revision(root.revision + 1)).bind()
                val unreferenced = root.branchesMap.values.toSet() - next.branchesMap.values.toSet()
                unreferenced.forEach { ref -> kv.delete(BRANCH_PREFIX + ref.id).mapError(::unavailable).bind() }
                kv.delete(key).mapError(::unavailable).bind()
            }
        }
    }
}

private fun unavailable(error: KeyValueError): SettingsStoreError = SettingsStoreError.Unavailable(error.describe())
