package org.jujubelead.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.jujubelead.core.ids.AttemptId
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.ModelId
import org.jujubelead.platform.CacheExport
import org.jujubelead.platform.GenerationRequest
import org.jujubelead.platform.HttpEngineControl
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class EngineServiceTest {
    private fun request(id: String, prompt: String = "p", priority: Int = 0, delivered: List<String> = emptyList()) =
        GenerationRequest(AttemptId(id), ModelId("chat"), prompt, 10, seed = 1, priority, delivered)

    private fun TestScope.engine(profile: EngineProfile = EngineProfile()) = EngineService(profile, nowMillis = {
        currentTime
    })

    /** Guards against a queue that ignores priorities, and against more running requests than the capacity. */
    @Test
    fun `queued requests run in the order of their priority`() = runTest {
        val engine = engine(EngineProfile(capacity = 1, reportLag = 5.seconds))
        val order = mutableListOf<String>()
        listOf("first" to 0, "low" to 0, "high" to 5).forEach { (id, priority) ->
            launch {
                engine.generate(request(id, priority = priority)).first()
                order += id
            }
            runCurrent()
        }
        expectThat(engine.counts()).get { running to waiting }.isEqualTo(1 to 2)
        expectThat(engine.load()).get { running to waiting }.isEqualTo(0 to 0)
        testScheduler.advanceUntilIdle()
        expectThat(order).isEqualTo(mutableListOf("first", "high", "low"))
        expectThat(engine.counts()).get { running to waiting }.isEqualTo(0 to 0)
    }

    /** Guards against an imported cache without effect, and against a cache of unlimited size. */
    @Test
    fun `an imported cache shortens the first token until it is evicted`() = runTest {
        val engine = engine(EngineProfile(cachedBlocks = 16))
        val prompt = "x".repeat(640)
        suspend fun firstToken(): Long {
            val start = currentTime
            engine.generate(request("a", prompt)).first()
            return currentTime - start
        }
        engine.importCache(CacheExport(AttemptId("a"), ModelId("chat"), prompt))
        expectThat(firstToken()).isLessThan(50)
        engine.generate(request("b", "y".repeat(2_000))).first()
        expectThat(firstToken()).isEqualTo(100)
        expectThat(engine.cacheEvents(0).size).isEqualTo(0)
        testScheduler.advanceTimeBy(1_000)
        expectThat(engine.cacheEvents(0).size).isGreaterThan(10)
    }

    /**
     * Guards against an engine that accepts an order of a former lease holder, also if the newer order arrives while
     * the model of the former one is loading.
     */
    @Test
    fun `orders with an outdated fence are rejected unless fences are ignored`() = runTest {
        val engine = engine()
        val superseded = async { engine.loadModel(ModelId("slow"), Fence(1)) }
        runCurrent()
        expectThat(engine.loadModel(ModelId("new"), Fence(2))).isTrue()
        expectThat(superseded.await()).isFalse()
        expectThat(engine.loadModel(ModelId("old"), Fence(1))).isFalse()
        expectThat(engine.serves(ModelId("new"))).isTrue()
        val withoutFences = engine(EngineProfile(ignoresFences = true))
        withoutFences.loadModel(ModelId("new"), Fence(2))
        expectThat(withoutFences.loadModel(ModelId("old"), Fence(1))).isTrue()
    }

    /** Guards against orders and caches that are changed by encoding or decoding. */
    @Test
    fun `orders and caches are transmitted unchanged`() = runBlocking<Unit> {
        val engine = EngineService(EngineProfile(loadTime = 0.seconds))
        StandInServer(modules = listOf(EngineHttp(engine))).use { server ->
            val control = HttpEngineControl(server.baseUrl)
            val stream = launch { engine.generate(request("a")).toList() }
            while (engine.counts().running == 0) delay(5)
            val cache = control.exportCache(AttemptId("a")).get()
            expectThat(cache).isNotNull().get { model }.isEqualTo(ModelId("chat"))
            expectThat(control.exportCache(AttemptId("none")).getError()).isEqualTo(null)
            expectThat(control.importCache(cache!!).isOk).isTrue()
            expectThat(control.loadModel(ModelId("b"), Fence(5)).isOk).isTrue()
            expectThat(control.loadModel(ModelId("c"), Fence(4)).isOk).isFalse()
            expectThat(control.cacheEvents(0).isOk).isTrue()
            stream.cancel()
        }
    }
}
