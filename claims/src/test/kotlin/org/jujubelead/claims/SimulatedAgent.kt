package org.jujubelead.claims

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.jujubelead.core.claim.ClaimedAttempt
import org.jujubelead.core.execution.AdmitDecision
import org.jujubelead.core.execution.AttemptState
import org.jujubelead.core.execution.ExecutionLedger
import org.jujubelead.core.execution.LedgerLimits
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One incarnation of an agent, with its own clock. A replaced incarnation continues the attempts it has admitted. */
internal class SimulatedAgent(
    val id: InstanceId,
    val incarnation: Incarnation,
    scope: CoroutineScope,
    private val nowMillis: () -> Long,
    private val history: History,
    private val random: Random,
    private val defect: Defect?,
    limits: LedgerLimits,
) {
    private val startMillis = nowMillis()
    private val clockOffset = random.nextInt(1_000).seconds
    private val ledger = ExecutionLedger<String>(incarnation, limits)
    private val dispatcher = PausableDispatcher(scope)

    fun now() = Timestamp.ZERO + (nowMillis() - startMillis).milliseconds + clockOffset

    fun pause() = dispatcher.pause()

    fun resume() = dispatcher.resume()

    private suspend fun <T> onThread(body: suspend () -> T): T = withContext(dispatcher) { body() }

    /**
     * Runs an attempt. Returns true if it finished, false if it did not run and never will, and null if its outcome is
     * unknown.
     */
    suspend fun execute(key: Int, permit: ClaimedAttempt, timeLeftMillis: Long): Boolean? = onThread {
        val expectedIncarnation = if (defect == Defect.NO_INCARNATION_CHECK) incarnation else permit.incarnation
        val decision = ledger.admit(
            permit.attempt,
            expectedIncarnation,
            permit.tick,
            now() + timeLeftMillis.milliseconds,
            now(),
        )
        when (decision) {
            is AdmitDecision.Refused -> if (decision.notRun) false else null
            is AdmitDecision.AlreadyKnown -> null
            AdmitDecision.Admitted -> run(key, permit)
        }
    }

    private suspend fun run(key: Int, permit: ClaimedAttempt): Boolean? {
        delay(random.nextLong(200).milliseconds)
        if (!ledger.handOver(permit.attempt, now())) return false
        history.runs += History.Run(key, permit.attempt, nowMillis())
        delay(random.nextLong(300).milliseconds)
        ledger.finish(permit.attempt, "done", 4, now())
        return true
    }

    suspend fun cancel(permit: ClaimedAttempt): AttemptState = onThread {
        val expectedIncarnation = if (defect == Defect.NO_INCARNATION_CHECK) incarnation else permit.incarnation
        val state = ledger.lookup(permit.attempt, expectedIncarnation).state
        when {
            defect == Defect.NO_TOMBSTONE && state == AttemptState.UNKNOWN -> AttemptState.NOT_RUN
            defect == Defect.CANCEL_IGNORES_HAND_OVER && state == AttemptState.RUNNING -> AttemptState.NOT_RUN
            else -> ledger.cancel(permit.attempt, expectedIncarnation, permit.tick, now())
        }
    }

    fun startDrain() = ledger.startDrain()
}
