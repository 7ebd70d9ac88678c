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
    private val life = Incarnation("life-1")
    private val a = AttemptId("a")
    private val b = AttemptId("b")
    private val c = AttemptId("c")
    private val start = Timestamp.ZERO + 100.seconds

    private fun ledger(limits: LedgerLimits = LedgerLimits()) = ExecutionLedger<String>(life, limits)

    private fun ExecutionLedger<String>.arrive(id: AttemptId, now: Timestamp, tick: Timestamp = now) =
        admit(id, life, tick = tick, deadline = now + 30.seconds, now = now)

    private fun ExecutionLedger<String>.run(id: AttemptId, now: Timestamp, answer: String = "ok", bytes: Long = 2) {
        expectThat(arrive(id, now)).isEqualTo(Admitted)
        expectThat(handOver(id, now)).isTrue()
        expectThat(finish(id, answer, bytes, now)).isTrue()
    }

    /** Guards against running an attempt after its caller was told that it did not run. */
    @Test
    fun `a cancel before the hand-over wins, one after it does not`() {
        val ledger = ledger()
        ledger.arrive(a, start)
        expectThat(ledger.cancel(a, life, start, start)).isEqualTo(AttemptState.NOT_RUN)
        expectThat(ledger.handOver(a, start)).isFalse()
        expectThat(ledger.arrive(a, start)).isEqualTo(Refused(RefusalCause.CANCELLED, notRun = true))
        ledger.arrive(b, start)
        expectThat(ledger.handOver(b, start)).isTrue()
        expectThat(ledger.cancel(b, life, start, start)).isEqualTo(AttemptState.RUNNING)
    }

    /** Guards against a delayed attempt that arrives after its tombstone was forgotten. */
    @Test
    fun `an attempt that arrives after its cancel never runs, however late`() {
        val ledger = ledger()
        expectThat(ledger.cancel(a, life, start, start)).isEqualTo(AttemptState.NOT_RUN)
        for (late in listOf(0.seconds, 9.seconds, 10.seconds, 59.seconds, 60.seconds, 61.seconds, 10.minutes)) {
            val decision = ledger.admit(a, life, start, start + late + 1.hours, start + late)
            expectThat(decision).isEqualTo(
                Refused(if (late < 60.seconds) RefusalCause.CANCELLED else RefusalCause.STALE_TICK, notRun = true),
            )
        }
        expectThat(ledger.tombstoneCount).isEqualTo(0)
    }

    /** Guards against NOT_RUN for an attempt that ran and whose record was dropped. */
    @Test
    fun `a cancel with a tick as old as a dropped record proves nothing`() {
        val ledger = ledger()
        ledger.run(a, start)
        val later = start + 1.hours
        repeat(2) { expectThat(ledger.cancel(a, life, start, later)).isEqualTo(AttemptState.UNKNOWN) }
        expectThat(ledger.cancel(b, life, start + 1.milliseconds, later)).isEqualTo(AttemptState.NOT_RUN)
        expectThat(ledger.arrive(c, later, tick = start)).isEqualTo(Refused(RefusalCause.STALE_TICK, notRun = false))
    }

    /** Guards against an answer about what an earlier incarnation did. */
    @Test
    fun `another incarnation refuses the attempt and says nothing else about it`() {
        val ledger = ledger()
        val earlier = Incarnation("life-0")
        expectThat(ledger.admit(a, earlier, start, start + 1.seconds, start))
            .isEqualTo(Refused(RefusalCause.WRONG_INCARNATION, notRun = true))
        expectThat(ledger.cancel(a, earlier, start, start)).isEqualTo(AttemptState.UNKNOWN)
        expectThat(ledger.lookup(a, earlier).state).isEqualTo(AttemptState.UNKNOWN)
    }

    /** Guards against handing over after a freeze for which the caller did not wait. */
    @Test
    fun `a freeze past the deadline between admission and hand-over leaves the attempt not run`() {
        val ledger = ledger()
        ledger.arrive(a, start)
        expectThat(ledger.handOver(a, start + 31.seconds)).isFalse()
        expectThat(ledger.lookup(a, life).state).isEqualTo(AttemptState.NOT_RUN)
    }

    /** Guards against two hand-overs of one attempt through a copied message. */
    @Test
    fun `a copy of an attempt is not handed over again`() {
        val ledger = ledger()
        ledger.run(a, start)
        expectThat(ledger.arrive(a, start)).isEqualTo(AlreadyKnown(AttemptState.FINISHED))
        expectThat(ledger.handOver(a, start)).isFalse()
        expectThat(ledger.lookup(a, life)).isEqualTo(AttemptLookup(AttemptState.FINISHED, "ok"))
    }

    /** Guards against records dropped early under load: new work is refused in their place. */
    @Test
    fun `at the bound of records new work is refused until a finished record is old enough`() {
        val ledger = ledger(LedgerLimits(maxRecords = 1))
        ledger.run(a, start)
        expectThat(ledger.arrive(b, start + 59.seconds)).isEqualTo(Refused(RefusalCause.OVERLOADED, notRun = true))
        expectThat(ledger.lookup(a, life).answer).isEqualTo("ok")
        expectThat(ledger.arrive(c, start + 60.seconds)).isEqualTo(Admitted)
        expectThat(ledger.cancel(a, life, start, start + 60.seconds)).isEqualTo(AttemptState.UNKNOWN)
    }

    /** Guards against answers that take more memory than configured, and against answers dropped early. */
    @Test
    fun `answers at the byte bound stop new work, then the oldest answer goes but not its record`() {
        val ledger = ledger(LedgerLimits(maxAnswerBytes = 10, maxBytesPerAnswer = 8))
        ledger.arrive(b, start)
        ledger.handOver(b, start)
        ledger.run(a, start, bytes = 8)
        ledger.finish(b, "ok", 8, start)
        expectThat(ledger.storedAnswerBytes).isEqualTo(8)
        expectThat(ledger.lookup(b, life)).isEqualTo(AttemptLookup(AttemptState.FINISHED, null))
        expectThat(ledger.arrive(c, start + 59.seconds)).isEqualTo(Refused(RefusalCause.OVERLOADED, notRun = true))
        val plain = ledger.admit(AttemptId("d"), life, start, start + 9.seconds, start, keepsAnswer = false)
        expectThat(plain).isEqualTo(Admitted)
        ledger.run(AttemptId("e"), start + 60.seconds, bytes = 3)
        expectThat(ledger.lookup(a, life)).isEqualTo(AttemptLookup(AttemptState.FINISHED, null))
        expectThat(ledger.storedAnswerBytes).isEqualTo(3)
    }

    /** Guards against a cancelled attempt that runs because there was no room for its tombstone. */
    @Test
    fun `without room for a tombstone all attempts with earlier ticks are refused`() {
        val ledger = ledger(LedgerLimits(maxTombstones = 1))
        ledger.cancel(a, life, start, start)
        expectThat(ledger.cancel(b, life, start, start)).isEqualTo(AttemptState.NOT_RUN)
        expectThat(ledger.tombstoneCount).isEqualTo(1)
        expectThat(ledger.arrive(b, start + 1.seconds, tick = start))
            .isEqualTo(Refused(RefusalCause.STALE_TICK, notRun = true))
        expectThat(ledger.arrive(c, start + 1.seconds)).isEqualTo(Admitted)
    }

    /** Guards against new work on an agent that leaves, and against cutting work it has admitted. */
    @Test
    fun `a drain refuses new attempts and lets admitted ones go on`() {
        val ledger = ledger()
        ledger.arrive(a, start)
        ledger.startDrain()
        expectThat(ledger.arrive(b, start)).isEqualTo(Refused(RefusalCause.DRAINING, notRun = true))
        expectThat(ledger.handOver(a, start)).isTrue()
        expectThat(ledger.active).isEqualTo(1)
    }

    /** Guards against a tick of another clock that would pass as fresh for a long time. */
    @Test
    fun `a tick from the future is refused and proves nothing`() {
        val ledger = ledger()
        expectThat(ledger.arrive(a, start, tick = start + 1.hours))
            .isEqualTo(Refused(RefusalCause.MALFORMED, notRun = false))
        expectThat(ledger.cancel(a, life, start + 1.hours, start)).isEqualTo(AttemptState.UNKNOWN)
    }
}
