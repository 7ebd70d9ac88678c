/**
 * Time on the monotonic clock of one process. Timestamps of different processes cannot be compared.
 *
 * Core code never reads a clock; callers pass the current time.
 */
package org.jujubelead.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Microseconds since an arbitrary origin that is fixed for the lifetime of the process. */
@JvmInline
public value class Timestamp(public val micros: Long) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = micros.compareTo(other.micros)

    public operator fun plus(duration: Duration): Timestamp = Timestamp(micros + duration.inWholeMicroseconds)

    public operator fun minus(duration: Duration): Timestamp = Timestamp(micros - duration.inWholeMicroseconds)

    public operator fun minus(earlier: Timestamp): Duration = (micros - earlier.micros).microseconds

    public companion object {
        public val ZERO: Timestamp = Timestamp(0)
    }
}
