/**
 * Keeps the settings of one process up to date.
 *
 * Relays watch the root record in the key-value service. Other processes subscribe to two upstreams. In addition, every
 * process exchanges revisions with a random entry once a second (anti-entropy) and fetches a higher revision. Failed
 * relays, stalled connections and inconsistent instance lists can therefore delay a change but not lose it. A process
 * never moves to a lower revision.
 */
package org.jujubelead.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.protocol.BranchRef
import org.jujubelead.protocol.BranchRequest
import org.jujubelead.protocol.Digest
import org.jujubelead.protocol.SettingsNotice
import org.jujubelead.protocol.SettingsRoot
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.protocol.SettingsUpdate
import org.jujubelead.protocol.SubscribeRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and intervals of the settings distribution.
 *
 * @property watchTimeout long-polling timeout of a watch. With 10 s, 36 relays make 3.6 calls/s.
 * @property callTimeout timeout of a call to a peer, short enough to fetch a change from another peer within
 *   [MAX_PROPAGATION_DELAY] after a failed call.
 * @property maxBackoff maximum back-off between failed calls. A change accepted during a connection loss must still
 *   spread within the rest of [MAX_PROPAGATION_DELAY].
 */
public data class DistributionTiming(
    val watchTimeout: Duration = 10.seconds,
    val digestInterval: Duration = 1.seconds,
    val callTimeout: Duration = 500.milliseconds,
    val initialBackoff: Duration = 100.milliseconds,
    val maxBackoff: Duration = 1.seconds,
)

/** Previous states kept for computing deltas. Consecutive states share most of their content. */
private const val MAX_RETAINED_STATES = 4

/** Entries that a starting process queries; it begins with the highest revision among them. */
private const val BOOTSTRAP_PEERS = 3

private const val MAX_DIGEST_ATTEMPTS = 3

/** Limits the size of a branch request. */
private const val MAX_BRANCHES_PER_REQUEST = 64

/** Decides whether a process replaces its current revision with an offered one. */
internal fun interface RevisionPolicy {
    fun accepts(current: Revision?, offered: Revision): Boolean

    companion object {
        val HIGHER_ONLY: RevisionPolicy = RevisionPolicy { current, offered -> current == null || offered > current }
    }
}

/** The settings distributor of one process. [instances] is the instance list, which can be out of date. */
public class SettingsDistributor internal constructor(
    private val self: InstanceRecord,
    private val kv: KeyValueStore,
    private val peers: SettingsPeers,
    private val instances: StateFlow<List<InstanceRecord>>,
    private val random: Random,
    private val timing: DistributionTiming,
    private val policy: RevisionPolicy,
) {
    public constructor(
        self: InstanceRecord,
        kv: KeyValueStore,
        peers: SettingsPeers,
        instances: StateFlow<List<InstanceRecord>>,
        random: Random = Random.Default,
        timing: DistributionTiming = DistributionTiming(),
    ) : this(self, kv, peers, instances, random, timing, RevisionPolicy.HIGHER_ONLY)

    private val store = SettingsStore(kv, random)
    private val state = MutableStateFlow<SettingsState?>(null)
    private val retainedStates = ArrayDeque<SettingsState>()

    @Volatile
    private var cachedSelection: Pair<List<InstanceRecord>, RelaySelection>? = null
    private val peersWithNewerRevision = Channel<InstanceId>(Channel.CONFLATED)
    private val resubscriptions = MutableStateFlow(0)

    /** The active settings; null until the first revision has been received. */
    public val settings: StateFlow<SettingsState?> = state.asStateFlow()

    /** Handles settings requests from other processes. */
    public val server: SettingsServer = SettingsServer(
        self = self.id,
        current = settings,
        findRetained = { revision ->
            synchronized(retainedStates) { retainedStates.firstOrNull { it.revision == revision } }
        },
        onNewerRevision = { peersWithNewerRevision.trySend(it) },
    )

    /** Runs until it is cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        // A starting relay that has fetched the settings from a peer reads only changed branches from the store.
        bootstrapFromPeers()
        launch { exchangeDigestsPeriodically() }
        launch { pullFromPeersWithNewerRevision() }
        launch { watchWhileRelay() }
        launch { subscribeToUpstreams() }
    }

    /** Returns the selection for the current instance list, cached because the list rarely changes. */
    private fun selection(): RelaySelection {
        val list = instances.value
        return cachedSelection?.takeIf { it.first === list }?.second
            ?: RelaySelection(list).also { cachedSelection = list to it }
    }

    private val currentRevision: Revision? get() = state.value?.revision

    private fun activate(offered: SettingsState) {
        synchronized(retainedStates) {
            val current = state.value
            if (!policy.accepts(current?.revision, offered.revision)) return
            if (current != null) retainedStates.addFirst(current)
            if (retainedStates.size > MAX_RETAINED_STATES) retainedStates.removeLast()
            state.value = offered
        }
    }

    // Relay

    private suspend fun watchWhileRelay() {
        instances.map { selection().isRelay(self) }.distinctUntilChanged().collectLatest { isRelay ->
            if (isRelay) watchRoot()
        }
    }

    private suspend fun watchRoot() {
        val backoff = Backoff(random, initial = timing.initialBackoff, max = timing.maxBackoff)
        var version: Version? = null
        while (true) {
            val after = version
            // Without a timeout, a watch on a stalled connection would never return.
            val change = withTimeoutOrNull(timing.watchTimeout + timing.callTimeout) {
                kv.watch(ROOT_KEY, after = after, wait = timing.watchTimeout)
            }
            val value = change?.get()
            val done = when {
                change == null || change.isErr -> false
                value == null -> true
                else -> activateRoot(value.bytes).also { if (it) version = value.version }
            }
            // Also back off when the key does not exist, because such a watch can return immediately.
            if (done) backoff.reset()
            if (!done || version == null) delay(backoff.next())
        }
    }

    /** Reads the branches of the root record; returns false when the record or a branch could not be read. */
    private suspend fun activateRoot(bytes: ByteArray): Boolean {
        val manifest = try {
            RevisionManifest(SettingsRoot.parseFrom(bytes))
        } catch (e: InvalidProtocolBufferException) {
            return false
        }
        val before = state.value
        if (!policy.accepts(before?.revision, manifest.revision)) return true
        val branches = store.readBranches(manifest.missingFrom(before)).getOrElse { return false }
        activate(manifest.assemble(before, branches.values))
        return true
    }

    // Subscriber

    private suspend fun subscribeToUpstreams() {
        val upstreams = instances.map { selection().upstreams(self) }.distinctUntilChanged()
        combine(upstreams, resubscriptions) { list, _ -> list }.collectLatest { list ->
            coroutineScope { list.forEach { launch { followUpstream(it) } } }
        }
    }

    private suspend fun followUpstream(upstream: InstanceRecord) {
        val backoff = Backoff(random, initial = timing.initialBackoff, max = timing.maxBackoff)
        while (true) {
            peers.subscribe(upstream, subscribeRequest(currentRevision)).collect { update ->
                backoff.reset()
                applyUpdate(upstream, update)
            }
            delay(backoff.next())
        }
    }

    private fun subscribeRequest(known: Revision?): SubscribeRequest = SubscribeRequest.newBuilder()
        .setInstance(self.id.value).setKnownRevision(known?.value ?: 0L).build()

    /** Applies an update; returns false when it is malformed or its branches could not be fetched. */
    private suspend fun applyUpdate(peer: InstanceRecord, update: SettingsUpdate): Boolean {
        val notice = try {
            SettingsNotice.parseFrom(update.root)
        } catch (e: InvalidProtocolBufferException) {
            return false
        }
        if (!policy.accepts(currentRevision, Revision(notice.revision))) return true
        val base = state.value
        val result = when {
            notice.baseRevision == 0L -> completeFromPeer(peer, base, notice)
            base?.revision?.value == notice.baseRevision -> applyDelta(base, notice) ?: fetchFullState(peer)
            else -> fetchFullState(peer)
        }
        result?.let { activate(it) }
        return result != null
    }

    private suspend fun fetchFullState(peer: InstanceRecord): SettingsState? {
        val update = withCallTimeout { peers.subscribe(peer, subscribeRequest(null)).firstOrNull() } ?: return null
        val notice = SettingsNotice.parseFrom(update.root)
        return completeFromPeer(peer, state.value, notice).takeIf { notice.baseRevision == 0L }
    }

    private suspend fun completeFromPeer(
        peer: InstanceRecord,
        base: SettingsState?,
        notice: SettingsNotice,
    ): SettingsState? {
        val manifest = RevisionManifest(Revision(notice.revision), notice.branchesMap)
        val fetched = ArrayList<SettingsTree>()
        manifest.missingFrom(base).chunked(MAX_BRANCHES_PER_REQUEST).forEach { refs ->
            fetched += fetchBranches(peer, refs) ?: return null
        }
        return manifest.assemble(base, fetched)
    }

    private suspend fun fetchBranches(peer: InstanceRecord, refs: List<BranchRef>): List<SettingsTree>? {
        val missing = refs.associateByTo(HashMap()) { it.sha256 }
        val fetched = ArrayList<SettingsTree>()
        while (missing.isNotEmpty()) {
            val request = BranchRequest.newBuilder().addAllHashes(missing.values.map { it.id }).build()
            val reply = withCallTimeout { peers.fetchBranches(peer, request).get() } ?: return null
            val received = reply.branchesList.filter { missing.remove(sha256(it.toByteArray())) != null }
            // The peer has moved to a later revision, which it also announces to its subscribers.
            if (received.isEmpty()) return null
            received.mapTo(fetched) { SettingsTree.parseFrom(it) }
        }
        return fetched
    }

    // Digests

    private suspend fun exchangeDigestsPeriodically() {
        while (true) {
            // Jitter keeps processes that started together from exchanging digests at the same time.
            delay(timing.digestInterval * (MIN_JITTER_FACTOR + random.nextDouble()))
            // Listed peers can be unreachable. Waiting one interval per failed peer could exceed the 4 s limit.
            var attempts = 0
            while (attempts < MAX_DIGEST_ATTEMPTS && randomPeer()?.let { exchangeDigest(it) } == false) attempts += 1
        }
    }

    /** Fetches the highest revision that a few random entries have. */
    private suspend fun bootstrapFromPeers() {
        val others = selection().entries().filter { it.id != self.id }.shuffled(random)
        others.take(BOOTSTRAP_PEERS).forEach { exchangeDigest(it) }
    }

    /**
     * Picks an entry of this zone or of any zone with equal probability, so that exchanges continue in an isolated
     * zone.
     */
    private fun randomPeer(): InstanceRecord? {
        val selection = selection()
        val own = selection.digestPeers(self.zone).filter { it.id != self.id }
        val all = selection.digestPeers().filter { it.id != self.id }
        return (if (own.isNotEmpty() && random.nextBoolean()) own else all).randomOrNull(random)
    }

    /** Exchanges revisions and fetches a higher one; returns false when a call to the peer failed. */
    private suspend fun exchangeDigest(peer: InstanceRecord): Boolean {
        val own = Digest.newBuilder().setInstance(
            self.id.value,
        ).setSettingsRevision(currentRevision?.value ?: 0L).build()
        val answer = withCallTimeout { peers.exchangeDigest(peer, own).get() } ?: return false
        return pullFrom(peer, Revision(answer.settingsRevision))
    }

    private suspend fun pullFromPeersWithNewerRevision() {
        for (id in peersWithNewerRevision) {
            selection().entries().find { it.id == id }?.let { exchangeDigest(it) }
        }
    }

    private suspend fun pullFrom(peer: InstanceRecord, offered: Revision): Boolean {
        if (offered.value == 0L || !policy.accepts(currentRevision, offered)) return true
        val previous = currentRevision
        val update = withCallTimeout { peers.subscribe(peer, subscribeRequest(previous)).firstOrNull() } ?: return false
        val done = applyUpdate(peer, update)
        // The upstreams did not announce this revision, so their connections may have stalled.
        if (done && previous != null) resubscriptions.value += 1
        return done
    }

    private suspend fun <T : Any> withCallTimeout(call: suspend () -> T?): T? = withTimeoutOrNull(timing.callTimeout) {
        call()
    }

    private companion object {
        /** The interval between digests is drawn from 0.5 to 1.5 times the configured one. */
        const val MIN_JITTER_FACTOR = 0.5
    }
}
