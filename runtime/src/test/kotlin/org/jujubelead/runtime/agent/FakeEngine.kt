/** A model engine whose answers are produced by the test. */
package org.jujubelead.runtime.agent

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import org.jujubelead.platform.EngineError
import org.jujubelead.platform.EngineLoad
import org.jujubelead.platform.GenerationEvent
import org.jujubelead.platform.GenerationRequest
import org.jujubelead.platform.ModelEngine
import java.util.concurrent.atomic.AtomicInteger

internal class FakeEngine(private val answer: suspend FlowCollector<GenerationEvent>.() -> Unit) : ModelEngine {
    /** Number of requests received. */
    val runs = AtomicInteger()

    override fun generate(request: GenerationRequest): Flow<GenerationEvent> = flow {
        runs.incrementAndGet()
        answer()
    }

    override suspend fun load(): Result<EngineLoad, EngineError> = Err(EngineError.Unreachable("no load"))
}
