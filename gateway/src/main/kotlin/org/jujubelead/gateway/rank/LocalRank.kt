/** Reads the rank of the local replica, and sends orders to it. Runs on the agent's event loop. */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class LocalRank(
    private val replica: RpcClient,
    private val runtime: AgentRuntime,
    private val decoders: WireDecoders = WireDecoders,
) {
    /** Passes a reading of the rank to [done]; null if the replica did not answer with a readable report. */
    fun read(done: (RankReading?) -> Unit) {
        val readAt = runtime.clock.now()
        replica.get(RankEndpoints.REPORT_PATH) { result ->
            var reading: RankReading? = null
            guarded("rank report") { reading = result.successBody()?.let { decode(it, readAt) } }
            done(reading)
        }
    }

    private fun decode(report: String, readAt: Timestamp): RankReading? {
        val decoded = decoders.rankReport(report, readAt).onFailure {
            runtime.log.log(LogEvent.RANK_UNREADABLE, "replica" to replica.endpoint, "detail" to it.detail)
        }
        return decoded.get()?.let { RankReading(readAt.micros, it) }
    }

    /**
     * Sends an order and calls [onAnswer] once the replica has answered or timed out. [done] receives the result with a
     * reading of the rank, which shows the [expected] state unless that takes too long.
     */
    fun send(body: String, expected: ExpectedState?, onAnswer: () -> Unit, done: (OrderResult) -> Unit) {
        replica.post(RankEndpoints.ORDER_PATH, body) { result ->
            onAnswer()
            val status = result.get()?.status
            val accepted = expected.takeIf { status in RankEndpoints.ACCEPTED_STATUSES }
            val end = runtime.clock.now() + if (accepted == null) Duration.ZERO else MAX_EFFECT_TIME
            readUntil(end, accepted) { reading -> done(OrderResult(status, reading)) }
        }
    }

    /** Reads the rank until it shows [expected], at least once and no longer than until [end]. */
    private fun readUntil(end: Timestamp, expected: ExpectedState?, done: (RankReading?) -> Unit) {
        val reads = RepeatingTask(runtime.loop, "rank after order", waitTime = { READ_INTERVAL }) { turn ->
            read(
                turn.step { reading ->
                    val shown = reading != null && expected?.shownBy(reading.observation) != false
                    if (!shown && runtime.clock.now() < end) return@step turn.end()
                    turn.stopTask()
                    done(reading)
                },
            )
        }
        reads.request()
    }

    private companion object {
        /** Loading experts takes a small part of this, unless the link of the replica is busy. */
        val MAX_EFFECT_TIME: Duration = 250.milliseconds
        val READ_INTERVAL: Duration = 30.milliseconds
    }
}
