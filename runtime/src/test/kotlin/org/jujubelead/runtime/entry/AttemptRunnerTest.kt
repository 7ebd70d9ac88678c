package org.jujubelead.runtime.entry

import com.github.michaelbull.result.get
import io.grpc.BindableService
import io.grpc.Server
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.Target
import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.membership.TargetKind
import org.jujubelead.core.membership.TargetSetId
import org.jujubelead.platform.EngineError
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.protocol.AcknowledgeReply
import org.jujubelead.protocol.AcknowledgeRequest
import org.jujubelead.protocol.AgentGrpcKt
import org.jujubelead.protocol.ExecuteRequest
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Generation
import org.jujubelead.protocol.RefusalReason
import org.jujubelead.protocol.ResumeRequest
import org.jujubelead.runtime.agent.AgentService
import org.jujubelead.runtime.agent.AgentState
import org.jujubelead.runtime.agent.FakeEngine
import org.jujubelead.runtime.agent.TargetRunner
import org.jujubelead.runtime.agent.toTick
import org.jujubelead.runtime.process.ControlThread
import org.jujubelead.runtime.rpc.Address
import org.jujubelead.runtime.rpc.Transport
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private val ANY_PORT = Address(host = "127.0.0.1", port = 0)
private val ATTEMPT = AttemptId("a")

class AttemptRunnerTest {
    private val transport = Transport.create(tls = null, listen = ANY_PORT).get()!!
    private val channels = TargetChannels(transport)
    private val runner = AttemptRunner(channels) { _, _ -> }
    private val control = ControlThread("control")
    private val workScope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val servers = ArrayList<Server>()
    private val delivered = CopyOnWriteArrayList<Frame>()

    @AfterEach
    fun close() {
        workScope.cancel()
        channels.close()
        servers.forEach { it.shutdownNow() }
        control.close()
        transport.close()
    }

    private fun agent(generate: suspend FlowCollector<GenerationEvent>.() -> Unit) = AgentState(
        instance = InstanceId("i"),
        incarnation = Incarnation("1"),
        control = control,
        capacity = 8,
        target = TargetRunner.Model(FakeEngine(generate)),
        workScope = workScope,
    )

    private fun target(port: Int) = Target(
        key = TargetKey(InstanceId("i"), Incarnation("1")),
        zone = ZoneId("z"),
        set = TargetSetId(TargetKind.MODEL, "m"),
        host = "127.0.0.1",
        port = port,
    )

    private fun serve(service: BindableService) =
        target(transport.serve(ANY_PORT, listOf(service)).also { servers += it }.port)

    private fun request(incarnation: String = "1"): ExecuteRequest = ExecuteRequest.newBuilder()
        .setRequestId("r")
        .setAttemptId(ATTEMPT.value)
        .setIncarnation(incarnation)
        .setTickMs(control.now().toTick())
        .setTimeLeftMs(10_000)
        .setGeneration(Generation.newBuilder().setModel("m").setPrompt("p").setMaxTokens(4))
        .build()

    private fun run(target: Target, request: ExecuteRequest = request()): AttemptResult = runBlocking {
        withTimeout(8.seconds) { runner.run(target, request) { delivered += it } }
    }

    private fun positions() = delivered.map { it.token.position }

    private suspend fun FlowCollector<GenerationEvent>.tokens(positions: IntRange) =
        positions.forEach { emit(GenerationEvent.Token(position = it, text = "t")) }

    /** Guards against missing, duplicate or reordered tokens on a working connection. */
    @Test
    fun `the complete answer is delivered in order`() {
        val target = serve(
            AgentService(
                agent {
                    tokens(0 until 600)
                    emit(GenerationEvent.Done(tokens = 600, reason = "stop"))
                },
            ),
        )
        expectThat(run(target)).isEqualTo(AttemptResult.Complete("stop"))
        expectThat(positions()).isEqualTo((0 until 600).toList())
    }

    /** An agent whose first stream stops after [passed] frames. Resumed streams are complete. */
    private class StopsSendingAfter(state: AgentState, private val passed: Int, private val silent: () -> Unit) :
        AgentGrpcKt.AgentCoroutineImplBase() {
        private val real = AgentService(state)
        val resumedFrom = CopyOnWriteArrayList<Long>()

        override fun execute(request: ExecuteRequest): Flow<Frame> = flow {
            var count = 0
            real.execute(request).collect { frame ->
                emit(frame)
                if (++count == passed) {
                    silent()
                    awaitCancellation()
                }
            }
        }

        override fun resume(request: ResumeRequest): Flow<Frame> {
            resumedFrom += request.fromSequence
            return real.resume(request)
        }

        override suspend fun acknowledge(request: AcknowledgeRequest): AcknowledgeReply =
            real.acknowledge(request)
    }

    /** Guards against duplicate or missing tokens when a connection that stopped delivering frames is replaced. */
    @Test
    fun `frames are resumed by position after the connection is replaced`() {
        val silent = CompletableDeferred<Unit>()
        val state = agent {
            tokens(0 until 3)
            silent.await()
            tokens(3 until 6)
            emit(GenerationEvent.Done(tokens = 6, reason = "stop"))
        }
        val service = StopsSendingAfter(state, passed = 3) { silent.complete(Unit) }
        val target = serve(service)
        val first = channels.get(target.key.instance, target.address())
        expectThat(run(target)).isEqualTo(AttemptResult.Complete("stop"))
        expectThat(positions()).isEqualTo((0 until 6).toList())
        expectThat(service.resumedFrom.toList()).isEqualTo(listOf(3L))
        expectThat(channels.get(target.key.instance, target.address()) !== first).isTrue()
    }

    private class FixedFramesAgent(private val calls: AtomicInteger, private val frames: Flow<Frame>) :
        AgentGrpcKt.AgentCoroutineImplBase() {
        override fun execute(request: ExecuteRequest): Flow<Frame> = frames.also { calls.incrementAndGet() }

        override fun resume(request: ResumeRequest): Flow<Frame> = frames.also { calls.incrementAndGet() }
    }

    /** Guards against requests that hang on an agent that accepts connections but sends no frames. */
    @Test
    fun `an agent that sends no frames is reported as lost within the timeouts`() {
        val calls = AtomicInteger()
        val target = serve(FixedFramesAgent(calls, flow { awaitCancellation() }))
        val (end, time) = measureTimedValue { run(target) }
        expectThat(end).isA<AttemptResult.Lost>()
        // One call and three resumes, each of which waits 1 s for its first frame.
        expectThat(calls.get()).isEqualTo(4)
        expectThat(time).isGreaterThanOrEqualTo(3_900.milliseconds).isLessThan(6.seconds)
    }

    /** Guards against the outcome `unknown`, and omitted retries, when nothing was sent. */
    @Test
    fun `a refused connection is reported as unreachable`() {
        val port = ServerSocket(0).use { it.localPort }
        val end = run(target(port))
        expectThat(end).isA<AttemptResult.Unreachable>()
        expectThat(end.possiblyHandedOver).isFalse()
    }

    /** Guards against a `not_run` flag that is lost or set wrongly between agent and entry. */
    @Test
    fun `a refusal is returned with its reason and its not-run flag`() {
        val target = serve(AgentService(agent { emit(GenerationEvent.Failed(EngineError.Interrupted("d"))) }))
        expectThat(run(target, request(incarnation = "2")))
            .isEqualTo(AttemptResult.Refused(RefusalReason.WRONG_INCARNATION, notRun = true, "wrong_incarnation"))
        expectThat(run(target)).isEqualTo(AttemptResult.Refused(RefusalReason.TARGET_FAILED, notRun = false, "d"))
    }

    /** Guards against truncated answers that are treated as complete. */
    @Test
    fun `a stream without an end frame is never complete`() {
        val frame = Frame.newBuilder().setAttemptId(ATTEMPT.value).setSequence(0)
            .apply { tokenBuilder.setPosition(0) }.build()
        val calls = AtomicInteger()
        val target = serve(FixedFramesAgent(calls, flow { emit(frame) }))
        expectThat(run(target)).isA<AttemptResult.Lost>()
        expectThat(positions()).isEqualTo(listOf(0))
    }
}
