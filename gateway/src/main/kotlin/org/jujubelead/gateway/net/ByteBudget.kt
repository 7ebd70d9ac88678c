/**
 * Memory that large responses of one event loop may take together. Not thread-safe; used on one event loop.
 */
package org.jujubelead.gateway.net

/** @param capacity maximum number of reserved bytes. */
public class ByteBudget(private val capacity: Long) {
    private var reserved = 0L

    /** Reserves [bytes]; returns false, and reserves nothing, when they do not fit. */
    public fun tryReserve(bytes: Int): Boolean {
        if (reserved + bytes > capacity) return false
        reserved += bytes
        return true
    }

    public fun release(bytes: Int) {
        reserved -= bytes
    }
}
