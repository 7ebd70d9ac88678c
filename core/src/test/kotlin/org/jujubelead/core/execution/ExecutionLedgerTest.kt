package org.jujubelead.core.execution

import org.jujubelead.core.execution.AdmitDecision.Admitted
import org.jujubelead.core.execution.AdmitDecision.AlreadyKnown
import org.jujubelead.core.execution.AdmitDecision.Refused
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ExecutionLedgerTest {
    private val incarnation = Incarnation("incarnation-1")
    private val a = AttemptId("a")
    private val b = AttemptId("b")
    private val c = AttemptId("c")
    private val start = Timestamp.ZERO + 100.seconds

    private fun ledger(limits: LedgerLimits = LedgerLimits()) = ExecutionLedger<String>(incarnation, limits)

    private fun ExecutionLedger<String>.arrive(id: AttemptId, now: Timestamp, tick: Timestamp = now) =
        admit(id, incarnation, tick = tick, deadline = now + 30.seconds, now = now)

    private fun ExecutionLedger<String>.run(id: AttemptId, now: Timestamp, answer: String = "ok", bytes: Long = 2) {
        expectThat(arrive(id, now)).isEqualTo(Admitted)
        expectThat(handOver(id, now)).isTrue()
        expectThat(finish(id, answer, bytes, now)).isTrue()
    }

    /** Guards against running an attempt after it was reported as not run. */
    @Test
    fun `a cancel takes effect only before the hand-over`() {
        val ledger = ledger()
        ledger.arrive(a, start)
        expectThat(ledger.cancel(a, incarnation, start, start)).isEqualTo(AttemptState.NOT_RUN)
        expectThat(ledger.handOver(a, start)).isFalse()
        expectThat(ledger.arrive(a, start)).isEqualTo(Refused(RefusalCause.CANCELLED, notRun = true))
        ledger.arrive(b, start)
        expectThat(ledger.handOver(b, start)).isTrue()
        expectThat(ledger.cancel(b, incarnation, start, start)).isEqualTo(AttemptState.RUNNING)
    }

    /** Guards against running a delayed attempt that arrives after its tombstone was dropped. */
    @Test
    fun `an attempt that arrives after its cancel never runs`() {
        val ledger = ledger()
        expectThat(ledger.cancel(a, incarnation, start, start)).isEqualTo(AttemptState.NOT_RUN)
        for (late in listOf(0.seconds, 9.seconds, 10.seconds, 59.seconds, 60.seconds, 61.seconds, 10.minutes)) {
            val decision = ledger.admit(a, incarnation, start, start + late + 1.hours, start + late)
            expectThat(decision).isEqualTo(
                Refused(if (late < 60.seconds) RefusalCause.CANCELLED else RefusalCause.STALE_TICK, notRun = true),
            )
        }
        expectThat(ledger.tombstoneCount).isEqualTo(0)
    }

    /** Guards against NOT_RUN for an attempt that ran and whose record was dropped. */
    @Test
    fun `a cancel with a tick not later than that of a dropped record returns UNKNOWN`() {
        val ledger = ledger()
        ledger.run(a, start)
        val later = start + 1.hours
        repeat(2) { expectThat(ledger.cancel(a, incarnation, start, later)).isEqualTo(AttemptState.UNKNOWN) }
        expectThat(ledger.cancel(b, incarnation, start + 1.milliseconds, later)).isEqualTo(AttemptState.NOT_RUN)
        expectThat(ledger.arrive(c, later, tick = start)).isEqualTo(Refused(RefusalCause.STALE_TICK, notRun = false))
    }

    /** Guards against claims about attempts of an earlier incarnation. */
    @Test
    fun `an attempt of another incarnation is refused and its state is UNKNOWN`() {
        val ledger = ledger()
        val earlier = Incarnation("incarnation-0")
        expectThat(ledger.admit(a, earlier, start, start + 1.seconds, start))
            .isEqualTo(Refused(RefusalCause.WRONG_INCARNATION, notRun = true))
        expectThat(ledger.cancel(a, earlier, start, start)).isEqualTo(AttemptState.UNKNOWN)
        expectThat(ledger.lookup(a, earlier).state).isEqualTo(AttemptState.UNKNOWN)
    }

    /** Guards against handing over an attempt after its deadline passed while the process was paused. */
    @Test
    fun `an attempt is not run when the process is paused past its deadline before the hand-over`() {
        val ledger = ledger()
        ledger.arrive(a, start)
        expectThat(ledger.handOver(a, start + 31.seconds)).isFalse()
        expectThat(ledger.lookup(a, incarnation).state).isEqualTo(AttemptState.NOT_RUN)
    }

    /** Guards against handing an attempt over twice because of a duplicate message. */
    @Test
    fun `a duplicate of an attempt is not handed over again`() {
        val ledger = ledger()
        ledger.run(a, start)
        expectThat(ledger.arrive(a, start)).isEqualTo(AlreadyKnown(AttemptState.FINISHED))
        expectThat(ledger.handOver(a, start)).isFalse()
        expectThat(ledger.lookup(a, incarnation)).isEqualTo(AttemptLookup(AttemptState.FINISHED, "ok"))
    }

    /** Guards against dropping records before their minimum retention under load. */
    @Test
    fun `with the maximum number of records attempts are refused until a finished record may be dropped`() {
        val ledger = ledger(LedgerLimits(maxRecords = 1))
        ledger.run(a, start)
        expectThat(ledger.arrive(b, start + 59.seconds)).isEqualTo(Refused(RefusalCause.OVERLOADED, notRun = true))
        expectThat(ledger.lookup(a, incarnation).answer).isEqualTo("ok")
        expectThat(ledger.arrive(c, start + 60.seconds)).isEqualTo(Admitted)
        expectThat(ledger.cancel(a, incarnation, start, start + 60.seconds)).isEqualTo(AttemptState.UNKNOWN)
    }

    /** Guards against answers that exceed the configured memory, and against dropping answers too early. */
    @Test
    fun `a full answer store refuses attempts, then drops the oldest answer but keeps its record`() {
        val ledger = ledger(LedgerLimits(maxAnswerBytes = 10, maxBytesPerAnswer = 8))
        ledger.arrive(b, start)
        ledger.handOver(b, start)
        ledger.run(a, start, bytes = 8)
        ledger.finish(b, "ok", 8, start)
        expectThat(ledger.storedAnswerBytes).isEqualTo(8)
        expectThat(ledger.lookup(b, incarnation)).isEqualTo(AttemptLookup(AttemptState.FINISHED, null))
        expectThat(ledger.arrive(c, start + 59.seconds)).isEqualTo(Refused(RefusalCause.OVERLOADED, notRun = true))
        val plain = ledger.admit(AttemptId("d"), incarnation, start, start + 9.seconds, start, keepsAnswer = false)
        expectThat(plain).isEqualTo(Admitted)
        ledger.run(AttemptId("e"), start + 60.seconds, bytes = 3)
        expectThat(ledger.lookup(a, incarnation)).isEqualTo(AttemptLookup(AttemptState.FINISHED, null))
        expectThat(ledger.storedAnswerBytes).isEqualTo(3)
    }

    /** Guards against running a cancelled attempt because its tombstone could not be stored. */
    @Test
    fun `when the tombstones are full all attempts with earlier ticks are refused`() {
        val ledger = ledger(LedgerLimits(maxTombstones = 1))
        ledger.cancel(a, incarnation, start, start)
        expectThat(ledger.cancel(b, incarnation, start, start)).isEqualTo(AttemptState.NOT_RUN)
        expectThat(ledger.tombstoneCount).isEqualTo(1)
        expectThat(ledger.arrive(b, start + 1.seconds, tick = start))
            .isEqualTo(Refused(RefusalCause.STALE_TICK, notRun = true))
        expectThat(ledger.arrive(c, start + 1.seconds)).isEqualTo(Admitted)
    }

    /** Guards against new attempts on a draining agent, and against aborting attempts that were admitted. */
    @Test
    fun `a drain refuses new attempts and lets admitted ones continue`() {
        val ledger = ledger()
        ledger.arrive(a, start)
        ledger.startDrain()
        expectThat(ledger.arrive(b, start)).isEqualTo(Refused(RefusalCause.DRAINING, notRun = true))
        expectThat(ledger.handOver(a, start)).isTrue()
        expectThat(ledger.active).isEqualTo(1)
    }

    /** Guards against a tick of another clock, which would count as fresh for too long. */
    @Test
    fun `an attempt with a tick from the future is refused and a cancel returns UNKNOWN`() {
        val ledger = ledger()
        expectThat(ledger.arrive(a, start, tick = start + 1.hours))
            .isEqualTo(Refused(RefusalCause.MALFORMED, notRun = false))
        expectThat(ledger.cancel(a, incarnation, start + 1.hours, start)).isEqualTo(AttemptState.UNKNOWN)
    }
}
