package org.jujubelead.runtime.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.jujubelead.core.admission.AdmissionPolicy
import org.jujubelead.core.admission.AdmissionRefusal
import org.jujubelead.core.admission.AdmissionRequest
import org.jujubelead.core.admission.AdmissionState
import org.jujubelead.core.admission.WorkspaceLimits
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.runtime.process.ControlThread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val WORKSPACE = WorkspaceId("w")

class AdmissionGateTest {
    private val control = ControlThread("control")
    private val state = AdmissionState(capacity = 1) { WorkspaceLimits() }
    private val gate = AdmissionGate(control, state, AdmissionPolicy(serviceTime = 1.milliseconds))

    @AfterEach
    fun close() = control.close()

    private fun test(block: suspend CoroutineScope.() -> Unit) = runBlocking { withTimeout(5.seconds) { block() } }

    private suspend fun enter(within: Duration = 4.seconds) =
        gate.enter(AdmissionRequest(workspace = WORKSPACE, deadline = control.now() + within))

    private suspend fun awaitWaiting(count: Int) {
        while (control.run { state.waiting } != count) delay(1.milliseconds)
    }

    /** Guards against a queue that stalls after the request in progress has ended. */
    @Test
    fun `the next waiter is admitted when a slot is released`() = test {
        expectThat(enter()).isEqualTo(Admission.Admitted)
        val waiter = async { enter() }
        awaitWaiting(1)
        gate.leave(WORKSPACE)
        expectThat(waiter.await()).isEqualTo(Admission.Admitted)
        expectThat(control.run { state.inProgress to state.waiting }).isEqualTo(1 to 0)
    }

    /** Guards against queue entries that remain after their callers have disconnected. */
    @Test
    fun `a cancelled waiter is removed from the queue`() = test {
        enter()
        val gone = launch { enter() }
        awaitWaiting(1)
        val next = async { enter() }
        awaitWaiting(2)
        gone.cancel()
        gone.join()
        expectThat(control.run { state.waiting }).isEqualTo(1)
        gate.leave(WORKSPACE)
        expectThat(next.await()).isEqualTo(Admission.Admitted)
    }

    /** Guards against requests that stay queued after their deadline. */
    @Test
    fun `a waiter is refused after its deadline`() = test {
        enter()
        val refused = enter(within = 60.milliseconds)
        expectThat(refused).isA<Admission.Refused>().get { reason }.isEqualTo(AdmissionRefusal.DEADLINE)
        expectThat(control.run { state.inProgress to state.waiting }).isEqualTo(1 to 0)
    }

    /** Guards against a slot that is never released because its caller was cancelled just after admission. */
    @Test
    fun `a caller cancelled between its admission and its resumption holds no slot`() = test {
        val caller = launch { enter() }
        yield()
        // The caller shares this thread, so it cannot resume while this call waits for the control thread.
        control.dispatcher.executor.submitAndWait()
        expectThat(state.inProgress).isEqualTo(1)
        caller.cancel()
        caller.join()
        expectThat(caller.isCancelled).isTrue()
        expectThat(control.run { state.inProgress to state.waiting }).isEqualTo(0 to 0)
    }

    private fun Executor.submitAndWait() =
        CompletableFuture.runAsync({}, this).join()
}
