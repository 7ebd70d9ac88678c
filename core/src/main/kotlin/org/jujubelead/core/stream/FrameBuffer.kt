/**
 * Frames of one attempt on the sending side, kept until the receiver acknowledged them.
 *
 * The buffer is bounded: a producer that finds it full waits, which slows the target instead of growing memory.
 */
package org.jujubelead.core.stream

/** Answer to a read at a position. */
public sealed interface FrameRead<out T> {
    public data class Available<T>(val frame: T) : FrameRead<T>

    /** The frame is not produced yet. */
    public data object NotYet : FrameRead<Nothing>

    /** The frame was acknowledged before and is gone. */
    public data object Released : FrameRead<Nothing>

    /** All frames were read; the producer has closed the buffer. */
    public data object Closed : FrameRead<Nothing>
}

/** Not thread-safe: one thread owns it. [capacity] counts frames that are not acknowledged. */
public class FrameBuffer<T>(private val capacity: Int) {
    private val frames = ArrayDeque<T>()
    private var firstSequence = 0L
    private var closed = false

    /** Sequence number of the next frame to append. */
    public val nextSequence: Long get() = firstSequence + frames.size

    /** Whether the producer has to wait for an acknowledgement. */
    public val isFull: Boolean get() = frames.size >= capacity

    public val isClosed: Boolean get() = closed

    /** Appends a frame. Callers check [isFull] first; the last frames of an answer may exceed it. */
    public fun append(frame: T) {
        check(!closed) { "the buffer is closed" }
        frames.addLast(frame)
    }

    /** Marks the end of the answer. */
    public fun close() {
        closed = true
    }

    /** Releases all frames before [next]. */
    public fun acknowledge(next: Long) {
        while (firstSequence < next && frames.isNotEmpty()) {
            frames.removeFirst()
            firstSequence += 1
        }
    }

    /** Reads the frame at [sequence]. */
    public fun read(sequence: Long): FrameRead<T> = when {
        sequence < firstSequence -> FrameRead.Released
        sequence < nextSequence -> FrameRead.Available(frames[(sequence - firstSequence).toInt()])
        closed -> FrameRead.Closed
        else -> FrameRead.NotYet
    }
}
