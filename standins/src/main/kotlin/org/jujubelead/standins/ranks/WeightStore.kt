/** The rate-limited store that ranks load expert weights from. Transfers are served in the order of the requests. */
package org.jujubelead.standins.ranks

private const val MICROS_PER_SECOND = 1_000_000.0

/** The store. Instants are microseconds on the clock of the caller. */
public class WeightStore(private val bytesPerSecond: Double) {
    private var busyUntilMicros = 0L

    /** Bytes asked for so far. */
    public var bytesMoved: Long = 0
        private set

    /** Begins a transfer and returns the instant at which it is complete. */
    public fun transfer(bytes: Long, nowMicros: Long): Long {
        bytesMoved += bytes
        val begin = maxOf(busyUntilMicros, nowMicros)
        busyUntilMicros = begin + (bytes / bytesPerSecond * MICROS_PER_SECOND).toLong()
        return busyUntilMicros
    }
}
