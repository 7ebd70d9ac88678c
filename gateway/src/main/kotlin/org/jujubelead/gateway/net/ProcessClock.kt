/** Monotonic and wall clock of this process. */
package org.jujubelead.gateway.net

import org.jujubelead.core.time.ClockReading
import org.jujubelead.core.time.Timestamp

/** Monotonic and wall clock. */
public interface Clock {
    /** Time on the monotonic clock. */
    public fun now(): Timestamp

    public fun read(): ClockReading
}

public object ProcessClock : Clock {
    private const val NANOS_PER_MICRO = 1_000

    override fun now(): Timestamp = Timestamp(System.nanoTime() / NANOS_PER_MICRO)

    override fun read(): ClockReading = ClockReading(now(), System.currentTimeMillis())
}
