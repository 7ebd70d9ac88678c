/** Registers this process in the instance list of the platform. */
package org.jujubelead.runtime.process

import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.delay
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.platform.InstanceDirectory
import org.jujubelead.runtime.telemetry.Event
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val INITIAL_BACKOFF: Duration = 0.5.seconds
private val MAX_BACKOFF: Duration = 10.seconds
private const val JITTER = 0.5

/** Announces [record] until the platform accepts it, with exponential back-off and jitter between attempts. */
public suspend fun InstanceDirectory.announceUntilAccepted(record: InstanceRecord) {
    var backoff = INITIAL_BACKOFF
    while (true) {
        var failed = false
        announce(record).onFailure {
            failed = true
            Event.DIRECTORY_UNAVAILABLE.log("registration of this instance failed, retrying: $it")
        }
        if (!failed) return
        delay(backoff * Random.nextDouble(1 - JITTER, 1 + JITTER))
        backoff = minOf(backoff * 2, MAX_BACKOFF)
    }
}
