/** Retries of calls to the key-value service, with a jittered and growing pause between them. */
package org.jujubelead.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import org.jujubelead.platform.KeyValueError
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Pauses that grow from [first] to [longest] by doubling; each is drawn from the upper half of its bound. */
public class Backoff(
    private val random: Random,
    private val first: Duration = 50.milliseconds,
    private val longest: Duration = 2_000.milliseconds,
) {
    private var bound = first

    public fun reset() {
        bound = first
    }

    public fun next(): Duration {
        val pause = bound * (1 + random.nextDouble()) / 2
        bound = minOf(bound * 2, longest)
        return pause
    }
}

/** Calls of one operation before it gives up; with the default pauses about ten seconds. */
internal const val MAX_CALLS: Int = 10

/** Repeats [call] while it certainly had no effect. */
internal suspend fun <T> retryCalls(
    random: Random,
    call: suspend () -> Result<T, KeyValueError>,
): Result<T, KeyValueError> {
    val backoff = Backoff(random)
    repeat(MAX_CALLS - 1) {
        val result = call()
        if (!result.getError().hadNoEffect()) return result
        delay(backoff.next())
    }
    return call()
}

/** Repeats a call that may be made any number of times, also after its outcome is unknown. */
internal suspend fun <T> retryRepeatable(
    random: Random,
    call: suspend () -> Result<T, KeyValueError>,
): Result<T, KeyValueError> {
    val backoff = Backoff(random)
    repeat(MAX_CALLS - 1) {
        val result = call()
        if (result.isOk || result.getError() is KeyValueError.Conflict) return result
        delay(backoff.next())
    }
    return call()
}

internal fun KeyValueError.describe(): String = when (this) {
    is KeyValueError.Unavailable -> detail
    KeyValueError.RateLimited -> "the rate limit of the key-value service is used up"
    is KeyValueError.Conflict -> "the key has another version than expected"
    is KeyValueError.OutcomeUnknown -> detail
}

/** Whether a call with this error certainly had no effect and may be repeated as it is. */
internal fun KeyValueError?.hadNoEffect(): Boolean =
    this is KeyValueError.Unavailable || this == KeyValueError.RateLimited
