/** Simulated store of expert weights with limited bandwidth. Transfers are processed in the order of the requests. */
package org.jujubelead.standins.ranks

private const val MICROS_PER_SECOND = 1_000_000.0

/** The store. Times are microseconds on the caller's clock. */
public class WeightStore(private val bytesPerSecond: Double) {
    private var busyUntilMicros = 0L

    /** Bytes requested so far. */
    public var bytesMoved: Long = 0
        private set

    /** Starts a transfer and returns the time at which it will be complete. */
    public fun transfer(bytes: Long, nowMicros: Long): Long {
        bytesMoved += bytes
        val begin = maxOf(busyUntilMicros, nowMicros)
        busyUntilMicros = begin + (bytes / bytesPerSecond * MICROS_PER_SECOND).toLong()
        return busyUntilMicros
    }
}
