package org.jujubelead.gateway.store

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.gateway.net.HttpAnswer
import org.jujubelead.gateway.net.HttpCaller
import org.jujubelead.gateway.net.listen
import org.jujubelead.gateway.net.servicePipeline
import org.jujubelead.gateway.telemetry.EventLog
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.net.InetSocketAddress
import java.util.Base64
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

@Timeout(20)
class LeaderElectionTest {
    private val group = NioEventLoopGroup(1)
    private val first = Endpoint("10.0.0.1", 7000)
    private val second = Endpoint("10.0.0.2", 7000)

    /** A store with one key that keeps it until it is removed; leases do not end by themselves. */
    private inner class OneKeyStore {
        @Volatile
        var holder: String? = null

        @Volatile
        var revision = 1L
        val reads = AtomicInteger()
        private val pattern = Regex(""""precondition":\[\{"key":"k","revision":(\d+)}].*"value":"([^"]*)"""")

        val server: Channel = listen(Endpoint("127.0.0.1", 0), group) {
            servicePipeline(
                mapOf(
                    "/kv-key" to { _, answer -> answer(read()) },
                    "/kv-lease" to { _, answer -> answer(HttpAnswer(200, """{"lease":5,"ttlMs":2000}""")) },
                    "/kv-keep/5" to { _, answer -> answer(HttpAnswer(200, "{}")) },
                    "/kv-txn" to { body, answer -> answer(write(body)) },
                ),
            )
        }
        val endpoint = Endpoint("127.0.0.1", (server.localAddress() as InetSocketAddress).port)

        private fun read(): HttpAnswer {
            reads.incrementAndGet()
            val text = holder ?: return HttpAnswer(404, """{"storeRevision":1}""")
            val value = Base64.getEncoder().encodeToString(text.toByteArray())
            return HttpAnswer(200, """{"key":"k","value":"$value","revision":$revision}""")
        }

        private fun write(body: String): HttpAnswer {
            val (expected, value) = checkNotNull(pattern.find(body)) { "not a conditional write: $body" }.destructured
            if (expected.toLong() != if (holder == null) 0 else revision) return HttpAnswer(412, """{"items":[]}""")
            holder = String(Base64.getDecoder().decode(value))
            return HttpAnswer(200, """{"revision":${++revision}}""")
        }
    }

    private val store = OneKeyStore()
    private val changes = LinkedBlockingQueue<Leadership>()

    private fun election(own: Endpoint, leaderAnswers: () -> Boolean = { false }) = LeaderElection(
        store = HttpCaller(store.endpoint, group.next(), 1.seconds),
        loop = group.next(),
        log = EventLog(),
        key = "k",
        own = own,
        turn = { 0 },
        leaderAnswers = leaderAnswers,
        onChange = { changes += it },
    )

    private fun nextChange(): Leadership? = changes.poll(3, TimeUnit.SECONDS)

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Guards against a group without a coordinator until the lease of a process that was restarted ends. */
    @Test
    fun `a restarted leader takes its key over at once, in a new term`() {
        store.holder = first.toString()
        store.revision = 40
        election(first).start()
        expectThat(nextChange()).isEqualTo(Leadership.Leader(Revision(41)))
    }

    /** Guards against a second leader while the first one lives. */
    @Test
    fun `a key of another process is followed`() {
        store.holder = first.toString()
        store.revision = 40
        election(second).start()
        expectThat(nextChange()).isEqualTo(Leadership.Follower(first, Revision(40)))
    }

    /** Guards against agents that go on following a deposed coordinator, or return to one. */
    @Test
    fun `an announcement counts only when its term is newer`() {
        val election = election(second, leaderAnswers = { true })
        store.holder = first.toString()
        store.revision = 40
        election.start()
        nextChange()
        group.next().submit { election.announced(Endpoint("10.0.0.3", 7000), Revision(50)) }.sync()
        expectThat(nextChange()).isEqualTo(Leadership.Follower(Endpoint("10.0.0.3", 7000), Revision(50)))
        group.next().submit { election.announced(first, Revision(40)) }.sync()
        expectThat(election.leadership.since).isEqualTo(Revision(50))
    }

    /** Guards against store calls that grow with the group although its coordinator answers. */
    @Test
    fun `a follower does not ask the store while its leader answers`() {
        store.holder = first.toString()
        election(second, leaderAnswers = { true }).start()
        nextChange()
        TimeUnit.SECONDS.sleep(2)
        expectThat(store.reads.get()).isLessThan(2)
    }
}
