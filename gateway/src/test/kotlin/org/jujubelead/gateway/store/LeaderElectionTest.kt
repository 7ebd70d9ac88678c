package org.jujubelead.gateway.store

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.standins.SimulatedStore
import org.jujubelead.platform.wire.DecodeError
import org.jujubelead.platform.wire.WireDecoders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

@Timeout(20)
class LeaderElectionTest {
    private val group = NioEventLoopGroup(1)
    private val first = Endpoint("10.0.0.1", 7000)
    private val second = Endpoint("10.0.0.2", 7000)

    private val store = SimulatedStore()
    private val changes = LinkedBlockingQueue<Leadership>()

    private fun election(
        own: Endpoint,
        decoders: WireDecoders = WireDecoders,
        leaderAnswers: () -> Boolean = { false },
    ) = LeaderElection(
        store = StoreClient(HttpClient(Endpoint("127.0.0.1", store.port), group.next(), 1.seconds), EventLog()),
        loop = group.next(),
        log = EventLog(),
        key = "k",
        self = own,
        candidateIndex = { 0 },
        leaderAnswers = leaderAnswers,
        decoders = decoders,
        onChange = { changes += it },
    )

    private fun term(number: Long) = StoreRevision(StoreEra(1), number).term

    private fun nextChange(): Leadership? = changes.poll(3, TimeUnit.SECONDS)

    @AfterEach
    fun stop() {
        store.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Guards against a group without a coordinator until the lease of a restarted process expires. */
    @Test
    fun `a restarted leader replaces its key at once, in a new term`() {
        val before = store.put("k", first.toString())
        election(first).start()
        expectThat(nextChange()).isA<Leadership.Leader>().get { since }.isGreaterThan(term(before))
    }

    /** Guards against a second leader while the first one is alive. */
    @Test
    fun `the holder of the key is followed`() {
        val since = store.put("k", first.toString())
        election(second).start()
        expectThat(nextChange()).isEqualTo(Leadership.Follower(first, term(since)))
    }

    /** Guards against a leader in the term of an earlier one, whose orders its agents would refuse. */
    @Test
    fun `the answer to an earlier write does not make a leader of an earlier term`() {
        var answers = 0
        val decoders = object : WireDecoders by WireDecoders {
            override fun writeRevision(body: String, era: StoreEra): Result<StoreRevision, DecodeError> =
                if (answers++ == 0) Ok(StoreRevision(era, 1)) else WireDecoders.writeRevision(body, era)
        }
        val before = store.put("k", first.toString())
        election(second, decoders).start()
        expectThat(nextChange()).isEqualTo(Leadership.Follower(first, term(before)))
        store.remove("k")
        expectThat(nextChange()).isA<Leadership.Leader>().get { since }.isGreaterThan(term(before))
    }

    /** Guards against agents that keep following a deposed coordinator or return to it. */
    @Test
    fun `an announcement counts only when its term is newer`() {
        val election = election(second, leaderAnswers = { true })
        val since = store.put("k", first.toString())
        election.start()
        nextChange()
        val third = Endpoint("10.0.0.3", 7000)
        group.next().submit { election.onAnnouncement(third, term(since + 10)) }.sync()
        expectThat(nextChange()).isEqualTo(Leadership.Follower(third, term(since + 10)))
        group.next().submit { election.onAnnouncement(first, term(since)) }.sync()
        expectThat(election.leadership.since).isEqualTo(term(since + 10))
    }

    /** Guards against a number of store reads that grows with the group while its coordinator responds. */
    @Test
    fun `a follower does not read the store while its leader responds`() {
        store.put("k", first.toString())
        election(second, leaderAnswers = { true }).start()
        nextChange()
        TimeUnit.SECONDS.sleep(2)
        expectThat(store.keyReads).isLessThan(2)
    }

    /** Guards against a group without a coordinator, or with one that the store does not know, after a return. */
    @Test
    fun `the leader takes its key again in a new era, in a higher term`() {
        val copy = store.copy()
        repeat(REVISIONS) { store.put("other", "$it") }
        election(first).start()
        val before = checkNotNull(nextChange()).since
        store.returnTo(copy)
        expectThat(nextChange()).isEqualTo(Leadership.Unknown)
        expectThat(nextChange()).isA<Leadership.Leader>().get { since }.isGreaterThan(before)
        expectThat(store.text("k")).isEqualTo(first.toString())
    }

    /** Guards against a leader that takes the key of its successor in a new era for its own. */
    @Test
    fun `leadership is not confirmed by the same number of a new era`() {
        val copy = store.copy()
        val election = election(first)
        election.start()
        val own = checkNotNull(nextChange()).since
        store.returnTo(copy)
        while (term(store.put("k", second.toString())) < own) continue
        val confirmed = LinkedBlockingQueue<Boolean>()
        group.next().submit { election.confirmLeadership { confirmed += it } }.sync()
        expectThat(confirmed.poll(3, TimeUnit.SECONDS)).isEqualTo(false)
    }

    private companion object {
        const val REVISIONS = 20
    }
}
