/** Marks work that is in progress, for a limited time: an answer that never comes does not keep it so for good. */
package org.jujubelead.gateway.schedule

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration

/** @param maxTime time after which the work no longer counts as in progress, even if it has not ended. */
internal class InProgress(private val maxTime: Duration) {
    private var deadline: Timestamp? = null

    fun begin(now: Timestamp) {
        deadline = now + maxTime
    }

    fun end() {
        deadline = null
    }

    fun at(now: Timestamp): Boolean = deadline?.let { now < it } ?: false
}
