/** Retries of key-value calls with exponential back-off and jitter. */
package org.jujubelead.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import org.jujubelead.platform.KeyValueError
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Exponential back-off from [initial] to [max]. Each delay is drawn from the upper half of the current limit. */
public class Backoff(
    private val random: Random,
    private val initial: Duration = 50.milliseconds,
    private val max: Duration = 2_000.milliseconds,
) {
    private var limit = initial

    public fun reset() {
        limit = initial
    }

    public fun next(): Duration {
        val backoff = limit * (1 + random.nextDouble()) / 2
        limit = minOf(limit * 2, max)
        return backoff
    }
}

/** Maximum number of attempts of one operation; takes about 10 s with the default back-off. */
internal const val MAX_CALL_ATTEMPTS: Int = 10

/** Retries [call] as long as it is certain to have had no effect. */
internal suspend fun <T> retryIfNoEffect(
    random: Random,
    call: suspend () -> Result<T, KeyValueError>,
): Result<T, KeyValueError> {
    val backoff = Backoff(random)
    repeat(MAX_CALL_ATTEMPTS - 1) {
        val result = call()
        if (!result.getError().hadNoEffect()) return result
        delay(backoff.next())
    }
    return call()
}

/** Retries an idempotent call, also when its outcome is unknown. */
internal suspend fun <T> retryIdempotent(
    random: Random,
    call: suspend () -> Result<T, KeyValueError>,
): Result<T, KeyValueError> {
    val backoff = Backoff(random)
    repeat(MAX_CALL_ATTEMPTS - 1) {
        val result = call()
        if (result.isOk || result.getError() is KeyValueError.Conflict) return result
        delay(backoff.next())
    }
    return call()
}

internal fun KeyValueError.describe(): String = when (this) {
    is KeyValueError.Unavailable -> detail
    KeyValueError.RateLimited -> "rate limit of the key-value service exceeded"
    is KeyValueError.Conflict -> "version conflict: the key does not have the expected version"
    is KeyValueError.OutcomeUnknown -> detail
}

/** Whether a call with this error is certain to have had no effect, so that it can be repeated unchanged. */
internal fun KeyValueError?.hadNoEffect(): Boolean =
    this is KeyValueError.Unavailable || this == KeyValueError.RateLimited
