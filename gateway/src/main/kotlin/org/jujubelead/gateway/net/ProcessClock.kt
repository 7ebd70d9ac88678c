/** Monotonic and wall clock of this process. */
package org.jujubelead.gateway.net

import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp

/** Monotonic clock. */
public fun interface Clock {
    public fun now(): Timestamp
}

public object ProcessClock : Clock {
    private const val NANOS_PER_MICRO = 1_000

    override fun now(): Timestamp = Timestamp(System.nanoTime() / NANOS_PER_MICRO)

    public fun read(): ClockReading = ClockReading(now(), System.currentTimeMillis())
}
