/** Back-off after failures of the key-value service. */
package org.jujubelead.claims

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Exponential back-off with jitter. The mean delay doubles up to [max], and each delay is the mean times a
 * random factor between 0.5 and 1.5, so that owners do not all retry at the same time after an outage.
 */
internal class Backoff(private val initial: Duration, private val max: Duration, private val random: Random) {
    private var mean = initial

    fun next(): Duration = jitter(mean, random).also { mean = minOf(mean * 2, max) }

    fun reset() {
        mean = initial
    }
}

internal fun jitter(mean: Duration, random: Random): Duration = mean * random.nextDouble(from = 0.5, until = 1.5)
