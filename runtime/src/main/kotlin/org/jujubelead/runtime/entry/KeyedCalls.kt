/** Non-idempotent calls with an idempotency key. */
package org.jujubelead.runtime.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result

/** Without a claim service, keyed calls are refused before dispatch. */
internal class KeyedCalls {
    @Suppress("UNUSED_PARAMETER", "RedundantSuspendModifier")
    suspend fun run(job: ServiceJob, key: String): Result<CollectedReply, Problem> =
        Err(Problem(ProblemCode.CLAIMS_UNAVAILABLE, "idempotency keys cannot be recorded now"))
}
