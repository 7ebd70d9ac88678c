/** Keeps this process listed with the platform. */
package org.jujubelead.runtime.process

import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.delay
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.platform.InstanceDirectory
import org.jujubelead.runtime.telemetry.Event
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val RETRY_FIRST: Duration = 0.5.seconds
private val RETRY_LONGEST: Duration = 10.seconds
private const val JITTER = 0.5

/** Announces [record] until the platform has taken it; waits longer after each failure, with jitter. */
public suspend fun InstanceDirectory.announceUntilTaken(record: InstanceRecord) {
    var wait = RETRY_FIRST
    while (true) {
        var failed = false
        announce(record).onFailure {
            failed = true
            Event.DIRECTORY_UNAVAILABLE.log("announce failed: $it")
        }
        if (!failed) return
        delay(wait * Random.nextDouble(1 - JITTER, 1 + JITTER))
        wait = minOf(wait * 2, RETRY_LONGEST)
    }
}
