/**
 * Measures ages safely across suspensions of the machine and jumps of the wall clock.
 *
 * The monotonic clock stops while an instance is suspended, and the wall clock can be set back. The age is the larger
 * advance of the two clocks, so that neither a suspension nor a clock change alone makes a proof of validity, such as
 * a confirmed lease, appear too recent.
 */
package org.jujubelead.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One reading of both clocks. */
public data class ClockReading(val monotonic: Timestamp, val wallMillis: Long) {
    /** Time since [earlier] on the clock that advanced further. */
    public fun since(earlier: ClockReading): Duration =
        maxOf(monotonic - earlier.monotonic, (wallMillis - earlier.wallMillis).milliseconds)
}
