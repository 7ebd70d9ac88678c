package org.jujubelead.runtime.agent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.protocol.AttemptState
import org.jujubelead.protocol.CancelRequest
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Generation
import org.jujubelead.protocol.HelloRequest
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.protocol.ResumeRequest
import org.jujubelead.runtime.process.ControlThread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AgentServiceTest {
    private val control = ControlThread("control")
    private val workScope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val engine = FakeEngine { emit(GenerationEvent.Done(tokens = 0, reason = "stop")) }
    private val durations = WorkDurations()
    private val state = AgentState(
        instance = InstanceId("i"),
        incarnation = Incarnation("1"),
        control = control,
        capacity = 8,
        target = TargetRunner.Model(engine),
        workScope = workScope,
        durations = durations,
    )
    private val service = AgentService(state)

    @AfterEach
    fun close() {
        workScope.cancel()
        control.close()
    }

    private fun test(block: suspend CoroutineScope.() -> Unit) = runBlocking { withTimeout(5.seconds) { block() } }

    private fun newRequest(attempt: String = "a", incarnation: String = "1"): ExecuteRequest =
        ExecuteRequest.newBuilder()
            .setAttemptId(attempt)
            .setIncarnation(incarnation)
            .setTickMs(control.now().toTick())
            .setTimeLeftMs(5_000)
            .setGeneration(Generation.newBuilder().setModel("m"))
            .build()

    private suspend fun execute(request: ExecuteRequest = newRequest()): Frame =
        service.execute(request).toList().last { !it.hasHeartbeat() }

    private suspend fun cancelAttempt(incarnation: String = "1"): AttemptState = service.cancel(
        CancelRequest.newBuilder()
            .setAttemptId("a")
            .setIncarnation(incarnation)
            .setTickMs(control.now().toTick())
            .build(),
    ).state

    private fun expectRefusal(frame: Frame, reason: RefusalReason, notRun: Boolean) {
        expectThat(frame.hasRefusal()).isTrue()
        expectThat(frame.refusal.reason).isEqualTo(reason)
        expectThat(frame.refusal.notRun).isEqualTo(notRun)
        expectThat(engine.runs.get()).isEqualTo(0)
    }

    /** Guards against a delayed attempt that runs after the outcome `not-run` was reported to the caller. */
    @Test
    fun `an attempt that arrives after its cancellation is refused as not run`() = test {
        expectThat(cancelAttempt()).isEqualTo(AttemptState.NOT_RUN)
        expectRefusal(execute(), RefusalReason.CANCELLED, notRun = true)
    }

    /** Guards against new work on a draining target. */
    @Test
    fun `a draining agent refuses new work as not run`() = test {
        control.run { state.ledger.startDrain() }
        expectRefusal(execute(), RefusalReason.DRAINING, notRun = true)
        expectThat(service.hello(HelloRequest.getDefaultInstance()).draining).isTrue()
    }

    /** Guards against an attempt that runs on a restarted agent, whose new ledger has no record of its cancellation. */
    @Test
    fun `an attempt for another incarnation is refused as not run`() = test {
        expectRefusal(execute(newRequest(incarnation = "2")), RefusalReason.WRONG_INCARNATION, notRun = true)
    }

    /** Guards against a false `not-run` for an attempt that an earlier incarnation may have run. */
    @Test
    fun `a cancel or resume for another incarnation does not report not-run`() = test {
        expectThat(cancelAttempt(incarnation = "2")).isEqualTo(AttemptState.UNKNOWN)
        val resume = ResumeRequest.newBuilder().setAttemptId("a").setIncarnation("2").build()
        expectRefusal(service.resume(resume).toList().single(), RefusalReason.WRONG_INCARNATION, notRun = false)
    }

    /** Guards against work that runs twice because the network duplicated its message. */
    @Test
    fun `a duplicate attempt gets the same answer and runs once`() = test {
        val request = newRequest()
        expectThat(execute(request).hasEnd()).isTrue()
        expectThat(execute(request).hasEnd()).isTrue()
        expectThat(engine.runs.get()).isEqualTo(1)
        while (state.running > 0) delay(1.milliseconds)
        expectThat(cancelAttempt()).isEqualTo(AttemptState.FINISHED)
    }

    /** Guards against a false `not-run` for an attempt that may still arrive after the resume. */
    @Test
    fun `a resume of an unknown attempt does not report not-run`() = test {
        val resume = ResumeRequest.newBuilder().setAttemptId("a").setIncarnation("1").build()
        val frame = service.resume(resume).toList().single()
        expectThat(frame.refusal.reason).isEqualTo(RefusalReason.UNKNOWN_ATTEMPT)
        expectThat(frame.refusal.notRun).isFalse()
    }

    /** Guards against a maintenance drain that starts too late because no durations were recorded. */
    @Test
    fun `the durations of attempts are recorded for the drain lead`() = test {
        repeat(100) { execute(newRequest(attempt = "a$it")) }
        while (state.running > 0) delay(1.milliseconds)
        expectThat(durations.p99()).isNotNull()
    }
}
