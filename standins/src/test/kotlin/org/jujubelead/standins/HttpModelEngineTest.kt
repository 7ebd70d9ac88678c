package org.jujubelead.standins

import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.ModelId
import org.jujubelead.platform.EngineError
import org.jujubelead.platform.EngineLoad
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.platform.GenerationRequest
import org.jujubelead.platform.HttpModelEngine
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.last
import kotlin.time.Duration.Companion.milliseconds

class HttpModelEngineTest {
    private val profile =
        EngineProfile(capacity = 1, firstToken = 5.milliseconds, tokenGap = 5.milliseconds, reportLag = 0.milliseconds)
    private val service = EngineService(profile)
    private val server = StandInServer(modules = listOf(EngineHttp(service)))
    private val engine = HttpModelEngine(server.baseUrl, idleTimeout = 500.milliseconds)
    private val response = AnswerText(prompt = "hello", seed = 7)

    @AfterEach
    fun stop() {
        engine.close()
        server.close()
    }

    private fun request(maxTokens: Int = 20, model: String = "chat", delivered: List<String> = emptyList()) =
        GenerationRequest(AttemptId("a"), ModelId(model), "hello", maxTokens, seed = 7, delivered = delivered)

    private fun List<GenerationEvent>.text() = filterIsInstance<GenerationEvent.Token>().map { it.text }

    /** Guards against tokens that are lost, duplicated or reordered between engine and client. */
    @Test
    fun `a stream contains the complete response`() = runBlocking<Unit> {
        val events = engine.generate(request()).toList()
        expectThat(events.text()).isEqualTo(response.tokens(20))
        expectThat(events).last().isA<GenerationEvent.Done>().get { tokens }.isEqualTo(response.length(20))
    }

    /** Guards against repeated or skipped tokens after a stream has moved to another engine. */
    @Test
    fun `a stream continues after the delivered tokens`() = runBlocking<Unit> {
        val all = response.tokens(20)
        val events = engine.generate(request(delivered = all.take(8))).toList()
        expectThat(events.text()).isEqualTo(all.drop(8))
    }

    /** Guards against a truncated stream that is reported as complete. */
    @Test
    fun `a truncated stream is interrupted`() = runBlocking<Unit> {
        service.faults = EngineFaultBody(breakAfterTokens = 3)
        val events = engine.generate(request()).toList()
        expectThat(events.text()).isEqualTo(response.tokens(20).take(3))
        expectThat(events).last().isA<GenerationEvent.Failed>().get { error }.isA<EngineError.Interrupted>()
    }

    /** Guards against a refused connection or an unknown model that is reported as a started generation. */
    @Test
    fun `an unknown model is refused and a closed port is unreachable`() = runBlocking<Unit> {
        expectThat(engine.generate(request(model = "other")).toList().single()).isA<GenerationEvent.Failed>()
            .get { error }.isA<EngineError.Refused>()
        server.close()
        expectThat(engine.generate(request()).toList().single()).isA<GenerationEvent.Failed>()
            .get { error }.isA<EngineError.Unreachable>()
    }

    /** Guards against a generation that continues, running or queued, after its caller has disconnected. */
    @Test
    fun `cancelling the collector frees the slot`() = runBlocking<Unit> {
        engine.generate(request(maxTokens = 1_000_000)).first()
        withTimeout(2_000) { while (service.counts().running > 0) delay(20) }
        expectThat(engine.load().get()).isEqualTo(EngineLoad(running = 0, waiting = 0, capacity = 1))
        val events = engine.generate(request(maxTokens = 1)).toList()
        expectThat(events.text()).containsExactly(response.token(0))
    }
}
