package org.jujubelead.gateway.rank

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.jujubelead.core.expertmap.MapOrder
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.store.Term
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.RpcClients
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.virtual.VirtualEventLoop
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.encodeOrder
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An agent whose replica moves between groups, in virtual time. */
class RankAgentTest {
    private val loop = VirtualEventLoop()
    private val groups = ArrayList<GroupId?>()
    private val ordered = ArrayList<String>()

    /** Name of the group in the replica's reports; null while it gives none. */
    private var reported: String? = null

    private inner class Client(override val endpoint: Endpoint) : RpcClient {
        override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit) {
            val name = reported
            done(if (name == null) Err(CallFailure("no answer")) else Ok(TextResponse(200, report(name))))
        }

        override fun post(
            path: String,
            body: String,
            timeout: Duration?,
            done: (Result<TextResponse, CallFailure>) -> Unit,
        ) {
            if (path == RankEndpoints.ORDER_PATH) ordered += body
            done(Ok(TextResponse(202, "")))
        }

        override fun close() = Unit
    }

    private fun report(name: String) =
        """{"group":{"name":"$name","epoch":1,"rank":0,"state":"open"},"size":1,"step":20,"mapping":0,""" +
            """"prepared":null,"armed":null,"held":null}"""

    private val agent = RankAgent(
        own = Endpoint("10.0.0.1", 1),
        replica = Client(Endpoint("10.0.0.1", 2)),
        runtime = AgentRuntime(loop, EventLog(), RpcClients { endpoint, _ -> Client(endpoint) }, clock = loop),
        onGroupChange = { groups += it },
    )

    /** Sends an order of the coordinator of [group] in [term], and returns the status of the answer. */
    private fun order(group: String, term: Long): Int? {
        val body = encodeOrder(MapOrder.Arm(MapVersion(7), step = 30), epoch = 1)
        val message = rankJson.encodeToString(RankOrder.serializer(), RankOrder(GroupId(group), term, body))
        var status: Int? = null
        agent.handleOrder(message) { status = it.status }
        loop.run(1.seconds)
        return status
    }

    /** Guards against a rank without a group that leads one, and one that stays in a group which it has left. */
    @Test
    fun `the group is known from the first report on, and until there has been none for a while`() {
        agent.start()
        loop.run(3.seconds)
        expectThat(groups.size).isEqualTo(0)
        reported = "a"
        loop.run(1.seconds)
        reported = null
        loop.run(5.seconds)
        expectThat(groups).containsExactly(GroupId("a"))
        loop.run(8.seconds)
        reported = "b"
        loop.run(1.seconds)
        reported = "a"
        loop.run(1.seconds)
        expectThat(groups).containsExactly(GroupId("a"), null, GroupId("b"), GroupId("a"))
    }

    /** Guards against an order to a rank of another group, and a late one to a rank that has left the group. */
    @Test
    fun `orders for another group are refused`() {
        agent.start()
        reported = "a"
        loop.run(1.seconds)
        agent.follow(Endpoint("10.0.0.9", 1), Term(5))
        expectThat(order("b", term = 6)).isEqualTo(409)
        expectThat(order("a", term = 5)).isEqualTo(200)
        reported = "b"
        loop.run(1.seconds)
        expectThat(order("a", term = 7)).isEqualTo(409)
        // The coordinator of the new group can have an earlier term than that of the former one.
        expectThat(order("b", term = 2)).isEqualTo(409)
        agent.follow(Endpoint("10.0.0.8", 1), Term(2))
        expectThat(order("b", term = 2)).isEqualTo(200)
        expectThat(ordered.size).isEqualTo(2)
    }
}
