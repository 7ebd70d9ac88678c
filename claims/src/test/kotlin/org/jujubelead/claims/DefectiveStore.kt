package org.jujubelead.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueError
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.Version
import org.jujubelead.standins.KeyValueFaults
import org.jujubelead.standins.KeyValueService
import org.jujubelead.standins.WriteReply
import kotlin.random.Random
import kotlin.time.Duration

/** A client of the key-value service that lacks the mechanism named by [defect]. */
internal class DefectiveStore(
    private val store: KeyValueStore,
    private val service: KeyValueService,
    private val faults: KeyValueFaults,
    private val defect: Defect?,
    private val random: Random,
    private val nowMillis: () -> Long,
    private val runLater: (Duration, () -> Unit) -> Unit,
) : KeyValueStore by store {
    override suspend fun compareAndSet(
        key: String,
        expected: Version?,
        value: ByteArray,
        operation: OperationId,
    ): Result<Version, KeyValueError> {
        if (defect == Defect.NO_FENCE && "/log/" in key) return overwrite(key, value, operation)
        val result = store.compareAndSet(key, expected, value, operation)
        val lost = defect == Defect.LOST_ANSWER_IS_FAILURE && result.getError() is KeyValueError.OutcomeUnknown
        return if (lost) Err(KeyValueError.Unavailable("the answer was lost")) else result
    }

    private suspend fun overwrite(
        key: String,
        value: ByteArray,
        operation: OperationId,
    ): Result<Version, KeyValueError> {
        val write = { service.write(key, service.read(key)?.version, value, operation, nowMillis()) }
        delay(faults.latency)
        if (!faults.reachable) return Err(KeyValueError.Unavailable("the service is not reachable"))
        if (random.nextDouble() < faults.lateWrites) {
            runLater(faults.lateWriteDelay) { write() }
            return Err(KeyValueError.OutcomeUnknown("timeout"))
        }
        val reply = write()
        delay(faults.latency)
        return when {
            random.nextDouble() < faults.lostAnswers -> Err(KeyValueError.OutcomeUnknown("the answer was lost"))
            reply is WriteReply.Written -> Ok(reply.version)
            else -> Err(KeyValueError.RateLimited)
        }
    }
}
