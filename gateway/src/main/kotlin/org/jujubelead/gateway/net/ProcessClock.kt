/** Monotonic and wall clock of this process. */
package org.jujubelead.gateway.net

import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp

public object ProcessClock {
    private const val NANOS_PER_MICRO = 1_000

    public fun now(): Timestamp = Timestamp(System.nanoTime() / NANOS_PER_MICRO)

    public fun read(): ClockReading = ClockReading(now(), System.currentTimeMillis())
}
