/**
 * Keeps the settings of one process up to date.
 *
 * Relays watch the root record. Other processes subscribe to two upstreams. All exchange their revision with a random
 * entry every second and fetch a higher one, so that dead relays, silent connections and differing views of the
 * instance list delay a change but do not lose it. A process only ever goes to a higher revision.
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
 * Times of the distribution.
 *
 * @property watchWait longest wait of one watch. 36 relays make 3.6 calls/s with ten seconds.
 * @property callLimit time limit of a call to a peer. A process that is told of a change in vain still gets it from
 *   another peer within the bound of 4 s.
 * @property longestPause bound of the pause between failed calls; a change that was accepted while the path was down
 *   has the rest of the 4 s to spread.
 */
public data class DistributionTimes(
    val watchWait: Duration = 10.seconds,
    val digestInterval: Duration = 1.seconds,
    val callLimit: Duration = 500.milliseconds,
    val firstPause: Duration = 100.milliseconds,
    val longestPause: Duration = 1.seconds,
)

/** Earlier states kept to send changes instead of whole branches; each shares most of its content with the next. */
private const val KEPT_STATES = 4

/** Entries that a fresh process asks, to start with the highest revision among them. */
private const val START_PEERS = 3

/** Peers that are tried for one digest. */
private const val DIGEST_ATTEMPTS = 3

/** Branches in one request, so that a request stays small. */
private const val BRANCHES_PER_REQUEST = 64

/** Whether a process that holds the first revision goes to the second. */
internal fun interface AdoptionRule {
    fun adopts(held: Revision?, offered: Revision): Boolean

    companion object {
        val HIGHER_ONLY: AdoptionRule = AdoptionRule { held, offered -> held == null || offered > held }
    }
}

/** The distributor of one process. [instances] is the lagging instance list. */
public class SettingsDistributor internal constructor(
    private val self: InstanceRecord,
    private val kv: KeyValueStore,
    private val peers: SettingsPeers,
    private val instances: StateFlow<List<InstanceRecord>>,
    private val random: Random,
    private val times: DistributionTimes,
    private val rule: AdoptionRule,
) {
    public constructor(
        self: InstanceRecord,
        kv: KeyValueStore,
        peers: SettingsPeers,
        instances: StateFlow<List<InstanceRecord>>,
        random: Random = Random.Default,
        times: DistributionTimes = DistributionTimes(),
    ) : this(self, kv, peers, instances, random, times, AdoptionRule.HIGHER_ONLY)

    private val store = SettingsStore(kv, random)
    private val state = MutableStateFlow<SettingsState?>(null)
    private val kept = ArrayDeque<SettingsState>()

    @Volatile
    private var selected: Pair<List<InstanceRecord>, RelaySelection>? = null
    private val newer = Channel<InstanceId>(Channel.CONFLATED)
    private val resubscriptions = MutableStateFlow(0)

    /** The settings in force; null before the first ones. */
    public val settings: StateFlow<SettingsState?> = state.asStateFlow()

    /** Answers other processes. */
    public val server: SettingsServer = SettingsServer(
        self = self.id,
        current = settings,
        earlier = { revision -> synchronized(kept) { kept.firstOrNull { it.revision == revision } } },
        onNewer = { newer.trySend(it) },
    )

    /** Runs until it is cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        // A fresh relay that finds the settings at a peer reads only what has changed since, and not all branches.
        askPeers()
        launch { exchangeDigests() }
        launch { followHints() }
        launch { watchWhileRelay() }
        launch { subscribeToUpstreams() }
    }

    /** The selection for the present list; it is used every second, and the list changes far less often. */
    private fun selection(): RelaySelection {
        val list = instances.value
        return selected?.takeIf { it.first === list }?.second ?: RelaySelection(list).also { selected = list to it }
    }

    private val held: Revision? get() = state.value?.revision

    private fun adopt(offered: SettingsState) {
        synchronized(kept) {
            val current = state.value
            if (!rule.adopts(current?.revision, offered.revision)) return
            if (current != null) kept.addFirst(current)
            if (kept.size > KEPT_STATES) kept.removeLast()
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
        val backoff = Backoff(random, first = times.firstPause, longest = times.longestPause)
        var version: Version? = null
        while (true) {
            val after = version
            // A watch on a connection that has gone silent never returns.
            val change = withTimeoutOrNull(times.watchWait + times.callLimit) {
                kv.watch(ROOT_KEY, after = after, wait = times.watchWait)
            }
            val value = change?.get()
            val done = when {
                change == null || change.isErr -> false
                value == null -> true
                else -> adoptRoot(value.bytes).also { if (it) version = value.version }
            }
            // A pause also after an absent value, because a watch of a missing key may return at once.
            if (done) backoff.reset()
            if (!done || version == null) delay(backoff.next())
        }
    }

    /** Reads what the root refers to; false when something could not be read. */
    private suspend fun adoptRoot(bytes: ByteArray): Boolean {
        val announced = try {
            Announced(SettingsRoot.parseFrom(bytes))
        } catch (e: InvalidProtocolBufferException) {
            return false
        }
        val before = state.value
        if (!rule.adopts(before?.revision, announced.revision)) return true
        val branches = store.readBranches(announced.missing(before)).getOrElse { return false }
        adopt(announced.assemble(before, branches.values))
        return true
    }

    // Subscriber

    private suspend fun subscribeToUpstreams() {
        val upstreams = instances.map { selection().upstreams(self) }.distinctUntilChanged()
        combine(upstreams, resubscriptions) { list, _ -> list }.collectLatest { list ->
            coroutineScope { list.forEach { launch { follow(it) } } }
        }
    }

    private suspend fun follow(upstream: InstanceRecord) {
        val backoff = Backoff(random, first = times.firstPause, longest = times.longestPause)
        while (true) {
            peers.subscribe(upstream, request(held)).collect { update ->
                backoff.reset()
                handle(upstream, update)
            }
            delay(backoff.next())
        }
    }

    private fun request(known: Revision?): SubscribeRequest = SubscribeRequest.newBuilder()
        .setInstance(self.id.value).setKnownRevision(known?.value ?: 0L).build()

    /** Takes over an update; false when it could not be completed. */
    private suspend fun handle(peer: InstanceRecord, update: SettingsUpdate): Boolean {
        val notice = try {
            SettingsNotice.parseFrom(update.root)
        } catch (e: InvalidProtocolBufferException) {
            return false
        }
        if (!rule.adopts(held, Revision(notice.revision))) return true
        val base = state.value
        val result = when {
            notice.baseRevision == 0L -> complete(peer, base, notice)
            base?.revision?.value == notice.baseRevision -> applyChange(base, notice) ?: fetchWhole(peer)
            else -> fetchWhole(peer)
        }
        result?.let { adopt(it) }
        return result != null
    }

    private suspend fun fetchWhole(peer: InstanceRecord): SettingsState? {
        val update = limited { peers.subscribe(peer, request(null)).firstOrNull() } ?: return null
        val notice = SettingsNotice.parseFrom(update.root)
        return complete(peer, state.value, notice).takeIf { notice.baseRevision == 0L }
    }

    private suspend fun complete(peer: InstanceRecord, base: SettingsState?, notice: SettingsNotice): SettingsState? {
        val announced = Announced(Revision(notice.revision), notice.branchesMap)
        val fetched = ArrayList<SettingsTree>()
        announced.missing(base).chunked(BRANCHES_PER_REQUEST).forEach { refs ->
            fetched += fetchAll(peer, refs) ?: return null
        }
        return announced.assemble(base, fetched)
    }

    private suspend fun fetchAll(peer: InstanceRecord, refs: List<BranchRef>): List<SettingsTree>? {
        val open = refs.associateByTo(HashMap()) { it.sha256 }
        val out = ArrayList<SettingsTree>()
        while (open.isNotEmpty()) {
            val request = BranchRequest.newBuilder().addAllHashes(open.values.map { it.id }).build()
            val reply = limited { peers.fetchBranches(peer, request).get() } ?: return null
            val useful = reply.branchesList.filter { open.remove(sha256(it.toByteArray())) != null }
            // The peer has gone on to a later revision, and tells it through its subscription.
            if (useful.isEmpty()) return null
            useful.mapTo(out) { SettingsTree.parseFrom(it) }
        }
        return out
    }

    // Digests

    private suspend fun exchangeDigests() {
        while (true) {
            // The pause varies, so that processes that started together do not exchange at the same moment.
            delay(times.digestInterval * (SHORTEST_INTERVAL + random.nextDouble()))
            // Peers that are listed can be gone or cut off. Waiting a second after each of them can use up the 4 s.
            var attempts = 0
            while (attempts < DIGEST_ATTEMPTS && randomPeer()?.let { exchange(it) } == false) attempts += 1
        }
    }

    /** Takes the highest revision among a few entries. */
    private suspend fun askPeers() {
        val others = selection().entries().filter { it.id != self.id }.shuffled(random)
        others.take(START_PEERS).forEach { exchange(it) }
    }

    /** An entry of the own zone or of any zone, with equal chance: a zone that is cut off has only its own. */
    private fun randomPeer(): InstanceRecord? {
        val selection = selection()
        val own = selection.digestPeers(self.zone).filter { it.id != self.id }
        val all = selection.digestPeers().filter { it.id != self.id }
        return (if (own.isNotEmpty() && random.nextBoolean()) own else all).randomOrNull(random)
    }

    /** Exchanges revisions and takes over a higher one; false when the peer did not answer everything. */
    private suspend fun exchange(peer: InstanceRecord): Boolean {
        val own = Digest.newBuilder().setInstance(self.id.value).setSettingsRevision(held?.value ?: 0L).build()
        val answer = limited { peers.exchangeDigest(peer, own).get() } ?: return false
        return pullFrom(peer, Revision(answer.settingsRevision))
    }

    private suspend fun followHints() {
        for (id in newer) {
            selection().entries().find { it.id == id }?.let { exchange(it) }
        }
    }

    private suspend fun pullFrom(peer: InstanceRecord, offered: Revision): Boolean {
        if (offered.value == 0L || !rule.adopts(held, offered)) return true
        val had = held
        val update = limited { peers.subscribe(peer, request(had)).firstOrNull() } ?: return false
        val done = handle(peer, update)
        // An upstream whose connection has gone silent would have told of this revision.
        if (done && had != null) resubscriptions.value += 1
        return done
    }

    private suspend fun <T : Any> limited(call: suspend () -> T?): T? = withTimeoutOrNull(times.callLimit) { call() }

    private companion object {
        /** The interval of digests varies from this part of it to as much above the whole. */
        const val SHORTEST_INTERVAL = 0.5
    }
}
