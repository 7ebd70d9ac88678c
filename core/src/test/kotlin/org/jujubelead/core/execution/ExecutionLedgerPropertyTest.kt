package org.jujubelead.core.execution

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

class ExecutionLedgerPropertyTest {
    private val incarnation = Incarnation("1")
    private val limits = LedgerLimits(
        maxTickAge = 2.seconds,
        tombstoneRetention = 4.seconds,
        minFinishedRetention = 3.seconds,
        maxFinishedRetention = 6.seconds,
        maxRecords = 3,
        maxTombstones = 2,
        maxAnswerBytes = 10,
        maxBytesPerAnswer = 6,
    )

    /** Guards against message orders and pauses in which an attempt runs twice, or runs after NOT_RUN was reported. */
    @Test
    fun `in any order of messages an attempt runs at most once and never after NOT_RUN`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 1, iterations = 2_000), Arb.list(Arb.int(0..999), 10..80)) { steps ->
            val ledger = ExecutionLedger<String>(incarnation, limits)
            val ran = HashSet<AttemptId>()
            val notRun = HashSet<AttemptId>()
            var now = Timestamp.ZERO
            val ticks = HashMap<AttemptId, Timestamp>()
            for (step in steps) {
                val attempt = AttemptId("${step % 6}")
                val tick = ticks.getOrPut(attempt) { now }
                when (step / 6 % 6) {
                    0, 1 -> {
                        val decision = ledger.admit(attempt, incarnation, tick, now + 5.seconds, now)
                        if (decision is AdmitDecision.Refused && decision.notRun) notRun += attempt
                    }

                    2 -> if (ledger.handOver(attempt, now)) check(ran.add(attempt)) { "$attempt ran twice" }

                    3 -> ledger.finish(attempt, "answer", bytes = 6, now)

                    4 -> if (ledger.cancel(attempt, incarnation, tick, now) == AttemptState.NOT_RUN) notRun += attempt

                    else -> now += (step / 36 % 4).seconds
                }
                check((ran intersect notRun).isEmpty()) { "${ran intersect notRun} ran but were reported as not run" }
                expectThat(ledger.recordCount).isLessThanOrEqualTo(3)
                expectThat(ledger.tombstoneCount).isLessThanOrEqualTo(2)
                expectThat(ledger.storedAnswerBytes).isLessThanOrEqualTo(10)
            }
        }
    }
}
