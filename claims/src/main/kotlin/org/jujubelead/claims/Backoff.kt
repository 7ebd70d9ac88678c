/** Pauses after failures of the key-value service. */
package org.jujubelead.claims

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Pauses that double up to a bound, each multiplied by a random factor of 0.5 to 1.5, so that owners do not return to
 * the service at the same moment after an outage.
 */
internal class Backoff(private val first: Duration, private val max: Duration, private val random: Random) {
    private var mean = first

    fun next(): Duration = jitter(mean, random).also { mean = minOf(mean * 2, max) }

    fun reset() {
        mean = first
    }
}

internal fun jitter(mean: Duration, random: Random): Duration = mean * random.nextDouble(from = 0.5, until = 1.5)
