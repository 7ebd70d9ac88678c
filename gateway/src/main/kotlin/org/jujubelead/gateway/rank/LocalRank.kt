/** Reads the rank of the local replica, and sends orders to it. Runs on the agent's event loop. */
package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.successBody
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.platform.wire.RankEndpoints
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class LocalRank(
    private val replica: RpcClient,
    private val runtime: AgentRuntime,
    private val decoders: WireDecoders = WireDecoders,
) {
    /** Passes a reading of the rank to [done]; null if the replica did not answer. */
    fun read(done: (RankReading?) -> Unit) {
        val readAt = runtime.clock.now()
        replica.get(RankEndpoints.REPORT_PATH) { result ->
            done(result.successBody()?.let { RankReading(readAt.micros, it) })
        }
    }

    /**
     * Sends an order and calls [onAnswer] once the replica has answered or timed out. [done] receives the result with a
     * reading of the rank; if the order [prepares] a map, the rank is read once it has loaded the experts.
     */
    fun send(body: String, prepares: Long?, onAnswer: () -> Unit, done: (OrderResult) -> Unit) {
        replica.post(RankEndpoints.ORDER_PATH, body) { result ->
            onAnswer()
            val status = result.get()?.status
            val loading = prepares != null && status in RankEndpoints.ACCEPTED_STATUSES
            readUntil(runtime.clock.now() + if (loading) MAX_LOAD_TIME else Duration.ZERO, prepares) { reading ->
                done(OrderResult(status, reading))
            }
        }
    }

    /** Reads the rank until it has prepared the map of [version], at least once and no longer than until [end]. */
    private fun readUntil(end: Timestamp, version: Long?, done: (RankReading?) -> Unit) {
        val reads = RepeatingTask(runtime.loop, "rank after order", waitTime = { LOAD_CHECK_INTERVAL }) { turn ->
            read(
                turn.step { reading ->
                    val ended = runtime.clock.now() >= end || preparedVersion(reading) == version
                    if (!ended) return@step turn.end()
                    turn.stopTask()
                    done(reading)
                },
            )
        }
        reads.request()
    }

    private fun preparedVersion(reading: RankReading?): Long? =
        reading?.let { decoders.rankReport(it.report, runtime.clock.now()).get() }?.observation?.prepared?.value

    private companion object {
        /** Loading experts takes a small part of this, unless the link of the replica is busy. */
        val MAX_LOAD_TIME: Duration = 250.milliseconds
        val LOAD_CHECK_INTERVAL: Duration = 30.milliseconds
    }
}
