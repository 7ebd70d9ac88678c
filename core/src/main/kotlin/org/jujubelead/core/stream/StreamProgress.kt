/**
 * Tells a stream that goes on from one that only repeats itself.
 *
 * A faulty replica can send blank lines, comments or the same event without end. Such a stream is no answer, however
 * long its request may take. Not thread-safe.
 */
package org.jujubelead.core.stream

public class StreamProgress {
    private var latestId: Long? = null
    private var blankLines = 0
    private var eventsWithoutNewId = 0

    /** Records a blank line outside of an event. Returns false if there are too many in a row. */
    public fun recordBlankLine(): Boolean = ++blankLines <= MAX_BLANK_LINES

    /** Records an event with [id], if it has one. Returns false if too many in a row have no higher one. */
    public fun recordEvent(id: Long?): Boolean {
        blankLines = 0
        val latest = latestId
        if (id != null && (latest == null || id > latest)) {
            latestId = id
            eventsWithoutNewId = 0
            return true
        }
        return ++eventsWithoutNewId <= MAX_EVENTS_WITHOUT_NEW_ID
    }

    public companion object {
        public const val MAX_BLANK_LINES: Int = 64

        /** More than a service without ids sends in the time of a request. */
        public const val MAX_EVENTS_WITHOUT_NEW_ID: Int = 10_000
    }
}
