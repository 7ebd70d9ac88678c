/**
 * Send buffer for the frames of one attempt, which keeps them until the receiver has acknowledged them.
 *
 * The buffer is bounded to give back-pressure: when it is full, the producer waits, which slows the target down.
 */
package org.jujubelead.core.stream

/** Result of a read at a sequence number. */
public sealed interface FrameRead<out T> {
    public data class Available<T>(val frame: T) : FrameRead<T>

    /** The frame has not been produced yet. */
    public data object NotYet : FrameRead<Nothing>

    /** The frame was acknowledged and has been removed. */
    public data object Released : FrameRead<Nothing>

    /** There are no more frames: the producer has closed the buffer. */
    public data object Closed : FrameRead<Nothing>
}

/** Not thread-safe. [capacity] is the maximum number of frames that are not acknowledged. */
public class FrameBuffer<T>(private val capacity: Int) {
    private val frames = ArrayDeque<T>()
    private var firstSequence = 0L
    private var closed = false

    /** Sequence number of the next frame to append. */
    public val nextSequence: Long get() = firstSequence + frames.size

    /** Whether the producer has to wait for an acknowledgement. */
    public val isFull: Boolean get() = frames.size >= capacity

    public val isClosed: Boolean get() = closed

    /** Appends a frame. Callers check [isFull] first; only the last frames of an answer may exceed the capacity. */
    public fun append(frame: T) {
        check(!closed) { "frame buffer is closed" }
        frames.addLast(frame)
    }

    /** Marks the end of the answer. */
    public fun close() {
        closed = true
    }

    /** Removes all frames before sequence number [next]. */
    public fun acknowledge(next: Long) {
        while (firstSequence < next && frames.isNotEmpty()) {
            frames.removeFirst()
            firstSequence += 1
        }
    }

    public fun read(sequence: Long): FrameRead<T> = when {
        sequence < firstSequence -> FrameRead.Released
        sequence < nextSequence -> FrameRead.Available(frames[(sequence - firstSequence).toInt()])
        closed -> FrameRead.Closed
        else -> FrameRead.NotYet
    }
}
