/**
 * Ages that hold across suspensions and jumps of the wall clock.
 *
 * The monotonic clock stands still while an instance is suspended, and the wall clock can jump. The larger advance of
 * the two is taken as the age, so that neither a suspension nor a jump makes a proof look younger on its own.
 */
package org.jujubelead.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One reading of both clocks. */
public data class ClockReading(val monotonic: Timestamp, val wallMillis: Long) {
    /** Time since [earlier], by the clock that advanced further. */
    public fun since(earlier: ClockReading): Duration =
        maxOf(monotonic - earlier.monotonic, (wallMillis - earlier.wallMillis).milliseconds)
}
